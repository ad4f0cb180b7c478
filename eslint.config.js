import * as fs from 'node:fs';
import * as airbnb from 'eslint-config-airbnb-extended';
import * as prettierConfig from 'eslint-config-prettier';
import * as globals from 'globals';
import * as tseslint from 'typescript-eslint';

const verbs = JSON.parse(fs.readFileSync(new URL('./docs/verbs.json', import.meta.url), 'utf8'));
const verbPattern = `/^(${verbs.join('|')})([A-Z0-9]|$)/`;

// House rules that go before Airbnb; docs/STYLE.md gives the reason for each.
const restrictedSyntax = [
  'error',
  { selector: 'ForInStatement', message: 'Use Object.entries.' },
  { selector: 'ForOfStatement[await=false]', message: 'Use array methods.' },
  { selector: 'LabeledStatement', message: 'Labels make code hard to follow.' },
  { selector: 'WithStatement', message: 'with is not allowed.' },
  { selector: 'ImportSpecifier', message: 'Use a namespace import.' },
  { selector: 'ImportDefaultSpecifier', message: 'Use a namespace import.' },
  { selector: 'ExportDefaultDeclaration', message: 'Use named exports.' },
  { selector: 'TSInterfaceDeclaration', message: 'Use type.' },
  {
    selector: `FunctionDeclaration > Identifier.id[name!=${verbPattern}]`,
    message: 'Functions begin with a verb of docs/verbs.json.',
  },
];

const coreRestrictions = [
  {
    selector: "MemberExpression[object.name='Date'][property.name='now']",
    message: 'Take now as an argument.',
  },
  {
    selector: "MemberExpression[object.name='Math'][property.name='random']",
    message: 'Take random as an argument.',
  },
  {
    selector: 'CallExpression[callee.name=/^set(Timeout|Interval|Immediate)$/]',
    message: 'Core has no timers.',
  },
  {
    selector: "NewExpression[callee.name='Date'][arguments.length=0]",
    message: 'Take now as an argument.',
  },
];

/** Says which folders a file may not import from; docs/STYLE.md has the table. */
const forbidImports = (...group) => ({
  'no-restricted-imports': ['error', { patterns: [{ group, message: 'See docs/STYLE.md.' }] }],
});
const PLATFORM = '@toucanproxy/platform';
// Names on the wire of the users' platform; only its adapter may know them.
const platformNames = {
  selector:
    'Literal[value=/x-toucanproxy-(attempt|cred|tenant|expect|kv|pin|token|prefix|deadline|response|not-ex)|\\/api\\/(kv|ready|report)|^op\\/config|^servers\\//i]',
  message: 'Names of the platform belong to platform/.',
};
const TEST_ONLY = ['@toucanproxy/stand-ins', '@toucanproxy/proofs', '@toucanproxy/measure'];

export default [
  { ignores: ['**/dist/**', '**/target/**', '**/node_modules/**', '**/generated/**'] },
  airbnb.plugins.stylistic,
  airbnb.plugins.importX,
  airbnb.plugins.node,
  airbnb.plugins.typescriptEslint,
  ...airbnb.configs.base.recommended,
  ...airbnb.configs.base.typescript,
  prettierConfig.default,
  { languageOptions: { globals: globals.default.node } },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
  },
  {
    files: ['**/*.ts', '**/*.js'],
    rules: {
      // Compiled modules of this workspace are resolved by tsc, not by the linter.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-namespace': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/namespace': 'off',
      // Generated code and messages carry names of the wire.
      'no-underscore-dangle': 'off',
      // A task owns its state and hands it to functions that change it.
      'no-param-reassign': ['error', { props: false }],
      // The formatter decides on layout.
      '@stylistic/max-len': 'off',
      // Functions are hoisted; the public one stands first in its module.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: true },
      ],
      '@typescript-eslint/consistent-type-definitions': ['error', 'type'],
      // Tasks wait for one message at a time.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': restrictedSyntax,
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
      'max-lines': ['error', { max: 320 }],
    },
  },
  {
    files: ['packages/core/src/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: { 'no-restricted-syntax': [...restrictedSyntax, ...coreRestrictions, platformNames] },
  },
  {
    files: ['packages/{schema,runtime,entry,agent,gateway}/src/**/*.ts'],
    ignores: ['**/*.test.ts', '**/mocks/**'],
    rules: {
      ...forbidImports('**/mocks/*', PLATFORM, ...TEST_ONLY),
      'no-restricted-syntax': [...restrictedSyntax, platformNames],
    },
  },
  {
    files: ['packages/cli/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/*.test.ts', '**/mocks/**'],
    rules: forbidImports('**/mocks/*', ...TEST_ONLY),
  },
  {
    files: ['packages/{proofs,measure}/src/**/*.ts'],
    rules: { 'no-restricted-syntax': [...restrictedSyntax, platformNames] },
  },
  {
    files: ['packages/core/src/gateway/**/*.ts'],
    ignores: ['**/*.test.ts', '**/mocks/**'],
    rules: forbidImports(
      '**/mocks/*',
      '../agent/*',
      '../entry/*',
      // What the scheduler's room keeps for itself; its index tells what passes between.
      '../scheduler/!(index.js)',
      PLATFORM,
      ...TEST_ONLY,
    ),
  },
  {
    files: ['packages/core/src/scheduler/**/*.ts'],
    ignores: ['**/*.test.ts', '**/mocks/**'],
    rules: forbidImports(
      '**/mocks/*',
      '../agent/*',
      '../entry/*',
      '../gateway/*',
      PLATFORM,
      ...TEST_ONLY,
    ),
  },
  {
    files: ['packages/core/src/agent/**/*.ts'],
    ignores: ['**/*.test.ts', '**/mocks/**'],
    rules: forbidImports(
      '**/mocks/*',
      '../entry/*',
      '../gateway/*',
      '../scheduler/*',
      ...TEST_ONLY,
    ),
  },
  {
    files: ['packages/core/src/shared/**/*.ts'],
    ignores: ['**/*.test.ts', '**/mocks/**'],
    rules: forbidImports(
      '**/mocks/*',
      '../agent/*',
      '../entry/*',
      '../gateway/*',
      '../scheduler/*',
      ...TEST_ONLY,
    ),
  },
  {
    files: ['packages/core/src/entry/**/*.ts'],
    ignores: ['**/*.test.ts', '**/mocks/**'],
    rules: forbidImports(
      '**/mocks/*',
      '../agent/*',
      '../gateway/*',
      '../scheduler/*',
      ...TEST_ONLY,
    ),
  },
  {
    files: ['**/*.test.ts'],
    rules: { 'max-lines-per-function': 'off' },
  },
  { files: ['**/*.js', '**/*.mjs'], ...tseslint.configs.disableTypeChecked },
  { files: ['eslint.config.js'], rules: { 'no-restricted-syntax': 'off', 'no-console': 'off' } },
];
