/** Lists all specification cases in the order in which they are checked and printed. */
import type {SpecificationCase} from './specification_case.js';
import {CLAIM_CASES} from './specifications/claim.js';
import {CONFIGURATION_CASES} from './specifications/configuration.js';
import {LEAVING_CASES} from './specifications/leaving.js';
import {LEASE_CASES} from './specifications/lease.js';
import {NOT_RUN_CASES} from './specifications/not_run.js';
import {ORDER_CASES} from './specifications/orders.js';
import {REQUEST_CASES} from './specifications/request_cases.js';

export const CASES: readonly SpecificationCase[] = [
  ...REQUEST_CASES,
  ...NOT_RUN_CASES,
  ...CLAIM_CASES,
  ...CONFIGURATION_CASES,
  ...LEASE_CASES,
  ...ORDER_CASES,
  ...LEAVING_CASES,
];
