/** Placeholder until the package has a public surface. */
export const PACKAGE = 'side';
