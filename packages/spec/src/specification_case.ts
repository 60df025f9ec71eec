/** A specification with its options and its controls. */
import {
  check,
  type CheckOptions,
  type CheckResult,
  type Specification,
  type Violation,
} from './checker.js';

/** Removal of one guard, for which a counterexample must be found. */
export interface Control<Options> {
  /** What is taken out. */
  readonly removed: string;
  readonly options: Partial<Options>;
  /** The invariant that must fail. */
  readonly violates: string;
}

export interface SpecificationCase {
  readonly name: string;
  readonly invariants: readonly string[];
  readonly controls: readonly string[];
  check(options?: CheckOptions): CheckResult;
  /** Returns the counterexample of a control, or undefined if there is none. */
  checkControl(removed: string): Violation | undefined;
  /** Removals that violate nothing: these guards are not needed for safety. */
  readonly redundant: readonly string[];
  checkRedundant(removed: string): CheckResult;
}

interface CaseDefinition<State extends object, Options> {
  readonly name: string;
  build(options: Partial<Options>): Specification<State>;
  readonly controls: ReadonlyArray<Control<Options>>;
  readonly redundant?: ReadonlyArray<Omit<Control<Options>, 'violates'>>;
}

/** Hides the types of a specification so that cases fit into one list. */
export function defineCase<State extends object, Options>(
  definition: CaseDefinition<State, Options>,
): SpecificationCase {
  const {name, build, controls, redundant = []} = definition;
  const base = build({});
  const progress = base.progress ? [base.progress.name] : [];
  return {
    name,
    invariants: [...Object.keys(base.invariants), ...progress],
    controls: controls.map(control => control.removed),
    redundant: redundant.map(control => control.removed),
    check: options => check(base, options),
    checkControl(removed) {
      const control = controls.find(item => item.removed === removed);
      if (!control) throw new Error(`${name}: no control ${removed}`);
      const {violates, options} = control;
      const result = check(build(options), {stopAt: violates});
      return result.violations.find(found => found.invariant === violates);
    },
    checkRedundant(removed) {
      const control = redundant.find(item => item.removed === removed);
      if (!control) throw new Error(`${name}: no removal ${removed}`);
      return check(build(control.options));
    },
  };
}
