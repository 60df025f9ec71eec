/** Reads the reserved shares of the ranks. */
import {RANKS, isRank, type Rank} from '../ids/rank.js';
import {
  DEFAULT_RESERVED_PERCENT,
  LEAST_URGENT_PERCENT,
} from './operator_config.js';
import {hintForName} from './suggestions.js';
import {ProblemList, TableReader, type Table} from './table_reader.js';

/** Below 1% a value is taken for a fraction written by mistake. */
const LEAST_PERCENT = 1;

const MOST_RESERVED = 100 - LEAST_URGENT_PERCENT;

/** Returns shares in percent; the urgent rank has what the others leave. */
export function readRanks(
  tables: ReadonlyMap<string, Table>,
  list: ProblemList,
): Record<Rank, number> {
  const given = new Map<Rank, number>();
  for (const [name, table] of tables) {
    const percent = readRank(name, table, list);
    if (isRank(name) && percent !== undefined) given.set(name, percent);
  }
  const ordinary = given.get('ordinary') ?? DEFAULT_RESERVED_PERCENT.ordinary;
  const overnight =
    given.get('overnight') ?? DEFAULT_RESERVED_PERCENT.overnight;
  const urgent = 100 - ordinary - overnight;
  checkShares(ordinary, overnight, given, list);
  return {urgent, ordinary, overnight};
}

function readRank(
  name: string,
  table: Table,
  list: ProblemList,
): number | undefined {
  const path = ['ranks', name];
  if (!isRank(name)) {
    list.add(path, `unknown rank "${name}"`, hintForName(name, RANKS));
    return undefined;
  }
  const reader = new TableReader(list, path, table, ['reserved_percent']);
  const isZero = table['reserved_percent'] === 0;
  return isZero
    ? 0
    : reader.number('reserved_percent', {least: LEAST_PERCENT, most: 100});
}

function checkShares(
  ordinary: number,
  overnight: number,
  given: ReadonlyMap<Rank, number>,
  list: ProblemList,
): void {
  const reserved = ordinary + overnight;
  const larger = ordinary >= overnight ? 'ordinary' : 'overnight';
  if (reserved > MOST_RESERVED) {
    list.add(
      ['ranks', larger, 'reserved_percent'],
      `ordinary ${ordinary}% and overnight ${overnight}% leave the urgent ` +
        `rank ${100 - reserved}%`,
      `their sum must be at most ${MOST_RESERVED}`,
    );
    return;
  }
  const urgent = given.get('urgent');
  if (urgent === undefined || urgent === 100 - reserved) return;
  list.add(
    ['ranks', 'urgent', 'reserved_percent'],
    `the shares add up to ${urgent + reserved}%`,
    `${100 - reserved}, which is what the other ranks leave, or no value`,
  );
}
