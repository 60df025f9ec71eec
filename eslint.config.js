import gts from 'gts';

/** Google TypeScript Style by gts; `any` is an error in this project. */
const projectFiles = {
  languageOptions: {
    parserOptions: {
      project: './packages/*/tsconfig.json',
      tsconfigRootDir: import.meta.dirname,
    },
  },
};

export default [
  {ignores: ['**/dist/', '**/node_modules/', '*.config.js']},
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
];
