/** Reads the reserved shares of the ranks. */
import {RANKS, isRank, type Rank} from '../ids/rank.js';
import {
  DEFAULT_RESERVED_PERCENT,
  MIN_URGENT_PERCENT,
} from './operator_config.js';
import {hintForName} from './suggestions.js';
import {ProblemList, TableReader, type Table} from './table_reader.js';

/** A smaller value is reported as a fraction that was meant as a percentage. */
const MIN_RESERVED_PERCENT = 1;

const MAX_NON_URGENT_PERCENT = 100 - MIN_URGENT_PERCENT;

/** Returns the shares in percent; the urgent rank gets the remainder. */
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
    : reader.number('reserved_percent', {min: MIN_RESERVED_PERCENT, max: 100});
}

function checkShares(
  ordinary: number,
  overnight: number,
  given: ReadonlyMap<Rank, number>,
  list: ProblemList,
): void {
  const reserved = ordinary + overnight;
  const larger = ordinary >= overnight ? 'ordinary' : 'overnight';
  if (reserved > MAX_NON_URGENT_PERCENT) {
    list.add(
      ['ranks', larger, 'reserved_percent'],
      `ordinary ${ordinary}% and overnight ${overnight}% leave the urgent ` +
        `rank ${100 - reserved}%`,
      `their sum must be at most ${MAX_NON_URGENT_PERCENT}`,
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
