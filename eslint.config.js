import gts from 'gts';

/** Google TypeScript Style by gts; `any` is an error in this project. */
const projectFiles = {
  languageOptions: {
    parserOptions: {
      project: ['./packages/*/tsconfig.json', './platform/tsconfig.json'],
      tsconfigRootDir: import.meta.dirname,
    },
  },
};

/** Names of the users' platform, which only its adapter may know. */
const platformNames =
  '/kv-(key|range|watch|txn|lease|keep)|azurecrank-(hop-count|expect-instance|' +
  'tenant|response-seal|token-count|prompt-prefix)|azurecrank_node_file|' +
  'op\\/config|at-server|server-leaving/i';

export default [
  {ignores: ['**/dist/', '**/node_modules/', 'target/', '*.config.js']},
  ...gts,
  {
    files: ['**/*.js'],
    languageOptions: {
      globals: {process: 'readonly', console: 'readonly', setImmediate: 'readonly'},
    },
  },
  {
    files: ['**/*.ts'],
    ...projectFiles,
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': 'error',
      '@typescript-eslint/no-floating-promises': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-unpublished-require': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
        {selector: 'PrivateIdentifier', message: 'Use private, not #.'},
      ],
    },
  },
  {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {patterns: ['@azurecrank/platform*']}],
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
        {selector: 'PrivateIdentifier', message: 'Use private, not #.'},
        {
          selector: `Literal[value=${platformNames}]`,
          message: 'Names of the platform belong into platform/.',
        },
      ],
    },
  },
];
