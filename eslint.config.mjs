import { configs, extensions, plugins, rules } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['dist/**', 'target/**', 'bench/out/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  ...extensions.base.typescript,
  plugins.typescriptEslint,
  rules.typescript.typescriptEslintStrict,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // Node's modules name files as they are built, so imports end in `.js`.
      'import-x/extensions': 'off',
      // Named inner steps stand after their use; see CONTRIBUTING.md.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: ['bench/**', 'tests/**', 'launch/bundle.mjs', 'eslint.config.mjs'] },
      ],
      // node:test registers tests by calls whose promises nobody awaits.
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
];
