/** Faults that tests inject into a stand-in, in process or by `POST /faults`. */
export interface Faults {
  /** Closes the connection of every request without handling the request. */
  down: boolean;
  /** Delay of every response, in milliseconds. */
  slowMs: number;
  /** Number of requests to handle but not to answer: the connection closes. */
  loseAnswers: number;
  /** Limits `loseAnswers` to a prefix of `METHOD PATH`, such as `PUT /kv/`. */
  loseOnly: string;
  /** Accepts requests, but neither handles nor answers them. */
  frozen: boolean;
}

export function noFaults(): Faults {
  return {down: false, slowMs: 0, loseAnswers: 0, loseOnly: '', frozen: false};
}
