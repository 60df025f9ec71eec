/** Faults that tests switch on in a stand-in through `POST /faults`. */
export interface Faults {
  /** Every request's connection is cut without an answer. */
  down: boolean;
  /** Added to every answer, in milliseconds. */
  slowMs: number;
  /** The next answers are lost after the request took effect. */
  loseAnswers: number;
  /** Loses only answers to `METHOD PATH` that starts so, such as `PUT /kv/`. */
  loseOnly: string;
  /** Requests are taken and never answered. */
  frozen: boolean;
}

export function noFaults(): Faults {
  return {down: false, slowMs: 0, loseAnswers: 0, loseOnly: '', frozen: false};
}
