/** Specification cases: a specification together with variants that lack one guard. */
import {
  checkSpecification,
  type CheckOptions,
  type CheckResult,
  type Specification,
  type Violation,
} from './checker.js';

/** Negative control: without this guard the checker must find a counterexample. */
export interface Control<Options> {
  /** Description of the removed guard or assumption. */
  readonly removed: string;
  readonly options: Partial<Options>;
  /** Name of the invariant or progress property that must fail. */
  readonly violates: string;
}

export interface SpecificationCase {
  readonly name: string;
  readonly invariants: readonly string[];
  /** Descriptions of the guards whose removal must violate an invariant. */
  readonly controls: readonly string[];
  check(options?: CheckOptions): CheckResult;
  /** Checks without the guard; returns the counterexample, or undefined if there is none. */
  checkControl(removed: string): Violation | undefined;
  /** Descriptions of the guards whose removal violates no invariant or progress property. */
  readonly redundantGuards: readonly string[];
  checkRedundantGuard(removed: string): CheckResult;
}

interface CaseDefinition<State extends object, Options> {
  readonly name: string;
  build(options: Partial<Options>): Specification<State>;
  readonly controls: ReadonlyArray<Control<Options>>;
  readonly redundantGuards?: ReadonlyArray<Omit<Control<Options>, 'violates'>>;
}

/** Erases the state and option types so that all cases fit into one list. */
export function defineCase<State extends object, Options>(
  definition: CaseDefinition<State, Options>,
): SpecificationCase {
  const {name, build, controls, redundantGuards = []} = definition;
  const base = build({});
  const progress = base.progress ? [base.progress.name] : [];
  return {
    name,
    invariants: [...Object.keys(base.invariants), ...progress],
    controls: controls.map(control => control.removed),
    redundantGuards: redundantGuards.map(control => control.removed),
    check: options => checkSpecification(base, options),
    checkControl(removed) {
      const control = controls.find(item => item.removed === removed);
      if (!control) throw new Error(`${name}: no control ${removed}`);
      const {violates, options} = control;
      const result = checkSpecification(build(options), {
        stopAtInvariant: violates,
      });
      return result.violations.find(found => found.invariant === violates);
    },
    checkRedundantGuard(removed) {
      const control = redundantGuards.find(item => item.removed === removed);
      if (!control) throw new Error(`${name}: no removal ${removed}`);
      return checkSpecification(build(control.options));
    },
  };
}
