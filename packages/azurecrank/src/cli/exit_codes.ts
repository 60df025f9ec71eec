/** Exit codes of all operator commands. */
export const ExitCode = {
  ok: 0,
  invalidFile: 1,
  usage: 2,
  conflict: 3,
  notKnown: 4,
  notReachable: 5,
  failed: 70,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

export function describeExitCodes(): string {
  return (
    'Exit codes: 0 ok, 1 invalid file, 2 usage, 3 conflict, 4 not known, ' +
    '5 service not reachable, 70 unexpected error'
  );
}
