/** Placeholder until the package has a public surface. */
export const PACKAGE = 'bench';
export * from './benches/claims.js';
