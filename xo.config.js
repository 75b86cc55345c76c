/** @type {import('xo').FlatXoConfig} */
export default [
	{
		ignores: ['**/dist/**', 'bench-results/**', 'target/**', 'journal/**'],
	},
	{
		rules: {
			// House style: short names where custom has them, data as enums, interfaces for behaviour.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			'unicorn/catch-error-name': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/consistent-type-definitions': 'off',
			// Node's streams hand out buffers.
			'@typescript-eslint/no-restricted-types': 'off',
			// Rows of the platform's table and caught errors are narrowed where they are read.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Accessors stand beside the methods that they belong to.
			'@typescript-eslint/member-ordering': 'off',
			// Empty bodies, as of constructors with parameter properties, stay on one line.
			'@stylistic/curly-newline': 'off',
			'@stylistic/object-curly-newline': ['error', {multiline: true, consistent: true}],
			'@typescript-eslint/no-empty-function': 'off',
			// Our own `find` methods are not those of arrays.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
			// The language level that the compiler targets has no `v` flag.
			'require-unicode-regexp': 'off',
			'max-params': ['error', {max: 7}],
			// Methods that an interface asks for need not use `this`.
			'class-methods-use-this': 'off',
		},
	},
	{
		// Addresses and hashes are words of bits.
		files: ['packages/blocks/src/*.ts', 'packages/daemon/src/request/headers.ts'],
		rules: {
			'no-bitwise': 'off',
		},
	},
	{
		// `test` of node:test registers itself; rigs start and stop one thing after another.
		files: ['test/**/*.ts'],
		rules: {
			'@typescript-eslint/no-floating-promises': 'off',
			'no-await-in-loop': 'off',
			'unicorn/no-await-expression-member': 'off',
			// Tests of a table share the rig that stands around them.
			'@typescript-eslint/no-loop-func': 'off',
		},
	},
];
