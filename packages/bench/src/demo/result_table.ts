/** Formats the demo's results as a text table with a row per workspace and rank. */
import type {Rank} from '@azurecrank/core';

export interface DemoResult {
  readonly workspace: string;
  readonly rank: Rank;
  /** Whether the answer was complete and the expected one. */
  readonly isCorrect: boolean;
  /** Whether the answer was complete but not the expected one. */
  readonly isWrong: boolean;
  readonly firstTokenMs: number;
  /** Reason of the refusal; empty if there was none. */
  readonly reason: string;
}

const COLUMNS = [
  'workspace',
  'rank',
  'requests',
  'whole',
  'first token p95 ms',
  'refused because',
] as const;

export class ResultTable {
  private readonly results: DemoResult[] = [];

  get areAllCorrect(): boolean {
    return this.results.every(({isCorrect, isWrong}) => isCorrect && !isWrong);
  }

  add(result: DemoResult): void {
    this.results.push(result);
  }

  render(): string {
    const groups = new Map<string, DemoResult[]>();
    for (const result of this.results) {
      const key = `${result.workspace}\t${result.rank}`;
      groups.set(key, [...(groups.get(key) ?? []), result]);
    }
    const rows = [...groups].sort().map(([key, results]) => {
      const [workspace, rank] = key.split('\t');
      const correct = results.filter(({isCorrect}) => isCorrect).length;
      const reasons = new Set(results.map(({reason}) => reason));
      reasons.delete('');
      return [
        workspace,
        rank,
        String(results.length),
        String(correct),
        String(Math.round(p95(results.map(r => r.firstTokenMs)))),
        [...reasons].join(', ') || '-',
      ];
    });
    return alignColumns([[...COLUMNS], ...rows]);
  }
}

function p95(values: number[]): number {
  const sorted = values.sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * 0.95)] ?? 0;
}

function alignColumns(rows: readonly string[][]): string {
  const widths = COLUMNS.map((_, column) =>
    Math.max(...rows.map(row => row[column].length)),
  );
  return rows
    .map(row => row.map((cell, i) => cell.padEnd(widths[i])).join('  '))
    .join('\n');
}
