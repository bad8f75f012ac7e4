import js from '@eslint/js';
import tseslint from 'typescript-eslint';

const outsideRuntime =
  'take time, randomness and sockets from @woodbarrow/runtime, so that simulation controls them';

const runtimeSyntax = [
  {
    selector: 'ImportDeclaration[source.value=/^(node:)?(net|dgram|tls|http|https)$/]',
    message: outsideRuntime,
  },
];

/** Headers, calls and fields of the platform that the product is deployed on. */
const platformWords =
  '(request-id|deadline-ms|prompt-prefix|server-stamp|expect-instance|server-load|not-run|instance-id|' +
  'token-counts|request-urgency|weight-versions|length-hint|fencingToken|expectRevision|trafficSplit|routeKind|' +
  'pathPrefix|kvCacheTokens|atHand)';
const platformNames = ['Literal', 'TemplateElement'].map((node) => ({
  selector: `${node}[value${node === 'Literal' ? '' : '.raw'}=/^${platformWords}$/i]`,
  message: "the platform's names belong into platform/",
}));

/** Which packages a package of the library may import. */
const layers = {
  errors: [],
  runtime: ['errors'],
  protocol: [],
  peering: ['errors', 'runtime', 'protocol'],
  membership: ['runtime', 'protocol', 'peering'],
  coordination: ['errors', 'runtime', 'protocol', 'peering'],
  backends: ['errors', 'runtime'],
  quarantine: ['errors', 'runtime', 'protocol', 'backends', 'observability'],
  forwarding: ['errors', 'runtime', 'backends', 'coordination', 'observability', 'quarantine'],
  exchange: ['errors', 'runtime', 'protocol', 'peering', 'coordination', 'backends', 'observability'],
  relaying: ['errors', 'runtime', 'protocol', 'peering', 'backends', 'observability', 'quarantine'],
  streams: [
    'errors',
    'runtime',
    'protocol',
    'peering',
    'coordination',
    'backends',
    'observability',
    'forwarding',
  ],
  residency: [
    'errors',
    'runtime',
    'protocol',
    'peering',
    'coordination',
    'backends',
    'forwarding',
    'exchange',
    'observability',
    'quarantine',
  ],
};

const allPackages = [
  'backends',
  'cli',
  'configuration',
  'coordination',
  'daemon',
  'engine',
  'errors',
  'forwarding',
  'gateway',
  'lab',
  'membership',
  'object-store',
  'observability',
  'peering',
  'placement',
  'platform',
  'protocol',
  'quarantine',
  'relaying',
  'residency',
  'routing',
  'runtime',
  'serving',
  'settings',
  'standins',
  'streams',
];

const layerRules = Object.entries(layers).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        paths: allPackages
          .filter((other) => other !== name && !allowed.includes(other))
          .map((other) => ({ name: `@woodbarrow/${other}`, message: `${name} must not depend on ${other}` })),
      },
    ],
  },
}));

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'reports/**', 'target/**', 'journal/**'] },
  js.configs.recommended,
  {
    files: ['packages/*/{src,test}/**/*.ts', 'platform/{src,test}/**/*.ts'],
    extends: [...tseslint.configs.recommendedTypeChecked],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/explicit-function-return-type': ['error', { allowExpressions: true }],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: false }],
      'max-lines': ['error', { max: 480, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['packages/runtime/src/**', 'packages/lab/src/real/**', 'packages/lab/src/commands/**'],
    rules: {
      'no-restricted-globals': [
        'error',
        ...['setTimeout', 'setInterval', 'setImmediate', 'performance', 'fetch'].map((name) => ({
          name,
          message: outsideRuntime,
        })),
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: outsideRuntime },
        { object: 'Math', property: 'random', message: outsideRuntime },
      ],
      'no-restricted-syntax': ['error', ...runtimeSyntax],
    },
  },
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      '@typescript-eslint/explicit-function-return-type': 'off',
    },
  },
  ...layerRules,
  {
    // The platform's names stand in its adapter alone.
    files: ['packages/*/src/**/*.ts'],
    rules: { 'no-restricted-syntax': ['error', ...runtimeSyntax, ...platformNames] },
  },
  {
    files: ['packages/runtime/src/**/*.ts', 'packages/lab/src/{real,commands}/**/*.ts'],
    rules: { 'no-restricted-syntax': ['error', ...platformNames] },
  },
  {
    files: ['**/*.js', '**/*.cjs', '**/*.mjs'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        URL: 'readonly',
        require: 'readonly',
        module: 'writable',
        __dirname: 'readonly',
      },
    },
  },
);
