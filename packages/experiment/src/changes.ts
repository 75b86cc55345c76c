import type {LogLine} from '@apricotwood/telemetry';

/** How one configuration version came into force on the hosts. */
export type ChangeSpread = {
	readonly version: number;
	/** Host on which it was in force first, and when, Unix ms. */
	readonly firstHost: string;
	readonly firstAtMs: number;
	/** Host on which it was in force last, and the time since the first one, ms. Hosts that started with it do not count. */
	readonly lastHost: string;
	readonly spreadMs: number;
	/** Number of hosts that replaced an older version by it. */
	readonly hostCount: number;
	/** Longest time for which it may have been confirmed when a host put it in force, ms; `undefined` if no host has logged one. */
	readonly maxDelayMs: number | undefined;
	/** Number of requests for missing changes that failed from `firstAtMs` until it was in force on the last host. */
	readonly failedRequests: number;
};

/** Summarizes for each configuration version of a log how it came into force, in order of version. */
export function listChanges(lines: readonly LogLine[]): ChangeSpread[] {
	const byVersion = new Map<number, LogLine[]>();
	for (const line of lines) {
		// A host that starts has no version before.
		if (line.event === 'config' && typeof line.version === 'number' && line.before !== undefined) {
			byVersion.set(line.version, [...byVersion.get(line.version) ?? [], line]);
		}
	}

	const failedAtMs = lines.filter(({event}) => event === 'catch-up-failed').map(({at}) => at);
	return [...byVersion].toSorted(([a], [b]) => a - b).map(([version, changes]) => summarize(version, changes, failedAtMs));
}

function summarize(version: number, changes: readonly LogLine[], failedAtMs: readonly number[]): ChangeSpread {
	const ordered = changes.toSorted((a, b) => a.at - b.at);
	const first = ordered[0]!;
	const last = ordered.at(-1)!;
	const delays = ordered.map(({maxDelayMs}) => maxDelayMs).filter(delay => typeof delay === 'number');
	return {
		version,
		firstHost: first.self,
		firstAtMs: first.at,
		lastHost: last.self,
		spreadMs: last.at - first.at,
		hostCount: new Set(ordered.map(({self}) => self)).size,
		maxDelayMs: delays.length > 0 ? Math.max(...delays) : undefined,
		failedRequests: failedAtMs.filter(at => at >= first.at && at <= last.at).length,
	};
}
