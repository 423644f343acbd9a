import gts from 'gts';

const namedImport = 'ImportDeclaration > ImportSpecifier';

export default [
  {ignores: ['**/dist/**', 'target/**', '**/generated/**', 'node_modules/**']},
  ...gts,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: ['packages/*/tsconfig.json', 'platform/tsconfig.json'],
      },
    },
    rules: {
      'no-restricted-syntax': [
        'error',
        {selector: namedImport, message: 'use a namespace import'},
      ],
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
];
