import {readdirSync, statSync} from 'node:fs';
import path from 'node:path';
import type {LogLine} from '@apricotwood/telemetry';

/** Events that are not about a single request, but may explain how a host handled one. */
const RELATED_EVENTS = new Set([
	'config',
	'catch-up',
	'catch-up-failed',
	'evacuation',
	'worker',
	'worker-gone',
	'check',
	'source-lost',
	'source-regained',
	'history-lost',
	'start',
	'ready',
	'leaving',
	'left',
	'host-heard',
	'isolation',
	'part-failed',
	'beliefs',
]);

/** Lists the paths of the entries of a folder in order of name, or the path of a file; `undefined` when `location` does not exist. */
export function listLogFiles(location: string): string[] | undefined {
	const stat = statSync(location, {throwIfNoEntry: false});
	if (!stat) {
		return undefined;
	}

	return stat.isDirectory() ? readdirSync(location).toSorted().map(name => path.join(location, name)) : [location];
}

/** Parses the JSON lines of a log; skips other lines, and any text before the JSON, such as a log collector's timestamp. */
export function parseLogLines(text: string): LogLine[] {
	const lines: LogLine[] = [];
	for (const line of text.split('\n')) {
		const start = line.indexOf('{');
		const parsed = start === -1 ? undefined : parseLogLine(line.slice(start));
		if (parsed) {
			lines.push(parsed);
		}
	}

	return lines;
}

/**
 * Collects the log lines of a request, with related events of its hosts up to `windowMs` before and after it.
 * Worker events are included only for workers that the request was sent to. Of a request that is taken for the cause
 * of crashes, the crashes are included at any time and on all hosts. The lines are in order of time.
 */
export function collectTrace(lines: readonly LogLine[], id: string, windowMs: number): LogLine[] {
	const requestLines = lines.filter(line => line.id === id);
	const hosts = new Set(requestLines.map(({self}) => self));
	const workers = new Set(requestLines.flatMap(line => listAttemptedWorkers(line)));
	const fingerprints = new Set(requestLines.map(({fingerprint}) => fingerprint).filter(Boolean));
	const related = lines.filter(line => {
		if (listCrashFingerprints(line).some(fingerprint => fingerprints.has(fingerprint))) {
			return true;
		}

		const isNear = requestLines.some(({at, ms}) => line.at >= at - Number(ms ?? 0) - windowMs && line.at <= at + windowMs);
		const concernsWorker = line.worker === undefined || (typeof line.worker === 'string' && workers.has(line.worker));
		return isNear && concernsWorker && hosts.has(line.self) && RELATED_EVENTS.has(line.event);
	});
	return [...requestLines, ...related].toSorted((a, b) => a.at - b.at);
}

/** Fingerprints of the requests that a line about a crash names. */
function listCrashFingerprints({event, fingerprint, fingerprints}: LogLine): unknown[] {
	switch (event) {
		case 'worker-crash': {
			return Array.isArray(fingerprints) ? fingerprints : [];
		}

		case 'crash-suspect': {
			return [fingerprint];
		}

		default: {
			return [];
		}
	}
}

function listAttemptedWorkers({attempts}: LogLine): string[] {
	return Array.isArray(attempts) ? attempts.map(attempt => String((attempt as {worker?: unknown}).worker)) : [];
}

function parseLogLine(text: string): LogLine | undefined {
	try {
		const value = JSON.parse(text) as Partial<LogLine>;
		return typeof value.at === 'number' && typeof value.event === 'string' && typeof value.self === 'string' ? value as LogLine : undefined;
	} catch {
		// The line is truncated or comes from another program.
		return undefined;
	}
}
