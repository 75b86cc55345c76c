import fc from 'fast-check';

/** A change of one place of a value. */
export type Mutation = {
	/** Which entry is gone into at each level, and where it stops. */
	readonly path: readonly number[];
	readonly kind: MutationKind;
	readonly value: unknown;
	/** Which value out of range is put. */
	readonly twist: number;
};

/** What is done at that place. */
export enum MutationKind {
	Replace = 'replace',
	/** Puts a value of the same kind out of its range. */
	Twist = 'twist',
	Remove = 'remove',
	/** Adds a field that nobody knows. */
	Add = 'add',
	/** Writes a field a second time, with another value. */
	Repeat = 'repeat',
	/** Writes the fields in reverse order. */
	Reverse = 'reverse',
}

/** Texts in a value that stand for what no JSON value can hold. */
enum Mark {
	Deep = '@deep@',
	DeepRecord = '@deep-record@',
	Huge = '@huge@',
	NoJson = '@no-json@',
}

/** Depth at which a recursive reader may exhaust its stack. */
const DEPTH = 20_000;
const REPEATED_PREFIX = '@repeated@';

const MARKS: Readonly<Record<Mark, string>> = {
	[Mark.Deep]: '['.repeat(DEPTH) + ']'.repeat(DEPTH),
	[Mark.DeepRecord]: '{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH),
	[Mark.Huge]: '1e400',
	[Mark.NoJson]: '{"a',
};

const ODD_VALUES: readonly unknown[] = [
	99_999,
	-1,
	1.5,
	0,
	65_536,
	1e15,
	1e300,
	2 ** 53,
	-0.5,
	null,
	true,
	false,
	'',
	[],
	{},
	'0',
	'r1',
	'NaN',
];

const ODD_ADDRESSES: readonly string[] = [
	'127.0.0.1:99999',
	'127.0.0.1:0',
	'127.0.0.1:-1',
	'999.1.1.1:80',
	'1.2.3:4',
	'10.0.0.1:080',
	'[::1]:80',
	'localhost:80',
	':80',
	'127.0.0.1',
	'0.0.0.0:80',
	'255.255.255.255:9',
];

const ODD_TEXTS: readonly string[] = [
	`${'9'.repeat(400)}s`,
	'1e9s',
	'-1ms',
	'0ms',
	'0s',
	'1000000000s',
	'1.5',
	's',
	`r${'9'.repeat(400)}`,
	'r-1',
	'r1.5',
	'r',
	'ready',
	'draining',
	'gone',
	'a1',
	'/',
	'//',
	'/a',
	'x y',
	'a\r\nb: c',
	'\u0000',
	'caf\u00E9',
	'__proto__',
	'constructor',
	'x'.repeat(60_000),
];

const ODD_NUMBERS: readonly unknown[] = [-1, 1.5, 0, 65_536, 99_999, 1e15, 1e300, Number.MAX_SAFE_INTEGER, 2 ** 53, Mark.Huge];
const ODD_DURATIONS: readonly string[] = [`${'9'.repeat(400)}s`, '1e9s', '-1ms', '0ms', '1000000000s', '1.5', '0.0000001ms', 's', '1 s'];
const ODD_VERSIONS: readonly string[] = [`r${'9'.repeat(400)}`, 'r-1', 'r1.5', 'r0', 'r', '7', 'R7', 'r1e3'];

/** A value that is like another one, and out of its range. */
function twist(value: unknown, index: number): unknown {
	const choices = selectTwists(value);
	return choices[index % choices.length];
}

function selectTwists(value: unknown): readonly unknown[] {
	if (typeof value === 'number') {
		return ODD_NUMBERS;
	}

	if (typeof value !== 'string') {
		return ODD_VALUES;
	}

	const [, choices = ODD_TEXTS] = TWISTS.find(([form]) => form.test(value)) ?? [];
	return choices;
}

/** Values out of range by the form of sound ones. */
const TWISTS: ReadonlyArray<readonly [RegExp, readonly string[]]> = [
	[/^r\d+$/, ODD_VERSIONS],
	[/^\d+m?s$/, ODD_DURATIONS],
	[/^[\d.]+:\d+$/, ODD_ADDRESSES],
];

/** Values that a writer may leave in a field. */
const oddValue: fc.Arbitrary<unknown> = fc.oneof(
	{weight: 3, arbitrary: fc.constantFrom(...ODD_VALUES)},
	{weight: 3, arbitrary: fc.constantFrom(...ODD_ADDRESSES)},
	{weight: 2, arbitrary: fc.constantFrom(...ODD_TEXTS)},
	{weight: 2, arbitrary: fc.constantFrom<unknown>(...Object.values(Mark))},
	{weight: 1, arbitrary: fc.jsonValue()},
	{weight: 1, arbitrary: fc.string({unit: 'binary', maxLength: 20})},
);

/** Mutations of a value. */
export const mutationArbitrary: fc.Arbitrary<Mutation> = fc.record({
	path: fc.array(fc.nat({max: 30}), {maxLength: 5}),
	kind: fc.oneof({weight: 5, arbitrary: fc.constantFrom(MutationKind.Replace, MutationKind.Twist)}, {weight: 4, arbitrary: fc.constantFrom(...Object.values(MutationKind))}),
	value: oddValue,
	twist: fc.nat({max: 30}),
});

/** Applies mutations to a valid value. @returns the text of the row. */
export function mutateRow(value: unknown, mutations: readonly Mutation[]): string {
	let changed: unknown = value;
	for (const mutation of mutations) {
		changed = mutate(changed, mutation, 0);
	}

	let text = JSON.stringify(changed);
	for (const [mark, meaning] of Object.entries(MARKS)) {
		text = text.replaceAll(`"${mark}"`, () => meaning);
	}

	// A key with this prefix stands for the same key once more.
	return text.replaceAll(new RegExp(`"(?:${REPEATED_PREFIX})+`, 'g'), '"');
}

function mutate(value: unknown, mutation: Mutation, level: number): unknown {
	const {path} = mutation;
	const entries: readonly Entry[] = typeof value === 'object' && value !== null ? Object.entries(value) : [];
	if (entries.length === 0) {
		return mutation.value;
	}

	const [key, inner] = entries[(path[level] ?? 0) % entries.length]!;
	const isLast = level >= path.length - 1;
	const changed = isLast
		? mutateEntry(entries, key, inner, mutation)
		: entries.map(([name, old]): Entry => [name, name === key ? mutate(inner, mutation, level + 1) : old]);
	return Array.isArray(value) ? changed.map(([, item]) => item) : toRecord(changed);
}

type Entry = readonly [string, unknown];

function mutateEntry(entries: readonly Entry[], key: string, inner: unknown, {kind, value, twist: index}: Mutation): readonly Entry[] {
	switch (kind) {
		case MutationKind.Replace: {
			return entries.map(([name, old]) => [name, name === key ? value : old]);
		}

		case MutationKind.Twist: {
			return entries.map(([name, old]) => [name, name === key ? twist(old, index) : old]);
		}

		case MutationKind.Remove: {
			return entries.filter(([name]) => name !== key);
		}

		case MutationKind.Add: {
			return [...entries, ['unknown', value]];
		}

		case MutationKind.Repeat: {
			return [...entries, [`${REPEATED_PREFIX}${key}`, value], [`${REPEATED_PREFIX}${REPEATED_PREFIX}${key}`, inner]];
		}

		case MutationKind.Reverse: {
			return entries.toReversed();
		}
	}
}

/** Like `Object.fromEntries`, also for a key that names the prototype. */
function toRecord(entries: readonly Entry[]): Record<string, unknown> {
	const record: Record<string, unknown> = {};
	for (const [key, value] of entries) {
		Object.defineProperty(record, key, {value, enumerable: true, configurable: true, writable: true});
	}

	return record;
}
