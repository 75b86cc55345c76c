import type {z} from 'zod';

/** One thing that is wrong with an input, and where. */
export type Finding = {
	/** Path inside the input, such as `upstreams[3].slots`; empty for the whole. */
	readonly place: string;
	readonly message: string;
};

/** All findings of one input. The message lists every one of them. */
export class FindingsError extends Error {
	override readonly name = 'FindingsError';

	constructor(readonly subject: string, readonly findings: readonly Finding[]) {
		super(`${subject} has ${findings.length} finding${findings.length === 1 ? '' : 's'}:\n${formatFindings(findings)}`);
	}
}

/** Renders findings one a line, as `place: message`. */
export function formatFindings(findings: readonly Finding[]): string {
	return findings.map(({place, message}) => place === '' ? message : `${place}: ${message}`).join('\n');
}

/** Renders a path such as `['upstreams', 3, 'slots']` as `upstreams[3].slots`. */
export function formatPlace(path: ReadonlyArray<string | number | symbol>): string {
	let place = '';
	for (const segment of path) {
		if (typeof segment === 'number') {
			place += `[${segment}]`;
			continue;
		}

		place += place === '' ? String(segment) : `.${String(segment)}`;
	}

	return place;
}

/** Turns a schema's issues into findings, one for each unknown key. */
export function collectFindings(error: z.ZodError): Finding[] {
	const findings: Finding[] = [];
	for (const issue of error.issues) {
		if (issue.code !== 'unrecognized_keys') {
			findings.push({place: formatPlace(issue.path), message: issue.message});
			continue;
		}

		for (const key of issue.keys) {
			findings.push({place: formatPlace([...issue.path, key]), message: 'is not a known key; remove it or check its spelling'});
		}
	}

	return findings;
}

/**
 * Checks a value against a schema.
 * @throws {FindingsError} with every finding, when the value does not fit.
 */
export function parseOrThrow<S extends z.ZodType>(subject: string, schema: S, value: unknown): z.output<S> {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}

	throw new FindingsError(subject, collectFindings(parsed.error));
}
