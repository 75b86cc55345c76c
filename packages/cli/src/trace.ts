import {readdirSync, statSync} from 'node:fs';
import path from 'node:path';
import type {LogLine} from '@apricotwood/telemetry';

/** What a host learns, and may explain what it did with a request. */
const BACKGROUND = new Set([
	'config',
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
	'part-failed',
	'beliefs',
]);

/** @returns the log files of a place, which is a file or a folder; `undefined` when it is not there. */
export function listFiles(place: string): string[] | undefined {
	const stat = statSync(place, {throwIfNoEntry: false});
	if (!stat) {
		return undefined;
	}

	return stat.isDirectory() ? readdirSync(place).toSorted().map(name => path.join(place, name)) : [place];
}

/** Reads the JSON lines of a log; text before a line's JSON, such as a collector's own time, and other lines are passed over. */
export function readLines(text: string): LogLine[] {
	const lines: LogLine[] = [];
	for (const line of text.split('\n')) {
		const start = line.indexOf('{');
		const parsed = start === -1 ? undefined : parseLine(line.slice(start));
		if (parsed) {
			lines.push(parsed);
		}
	}

	return lines;
}

/** Lines of a request, with what its hosts learnt around it of its workers and of what concerns all requests, in order of time. */
export function findTrace(lines: readonly LogLine[], id: string, aroundMs: number): LogLine[] {
	const own = lines.filter(line => line.id === id);
	const hosts = new Set(own.map(({self}) => self));
	const workers = new Set(own.flatMap(line => workersOf(line)));
	const related = lines.filter(line => {
		const isNear = own.some(({at, ms}) => line.at >= at - Number(ms ?? 0) - aroundMs && line.at <= at + aroundMs);
		const isOfWorker = line.worker === undefined || (typeof line.worker === 'string' && workers.has(line.worker));
		return isNear && isOfWorker && hosts.has(line.self) && BACKGROUND.has(line.event);
	});
	return [...own, ...related].toSorted((a, b) => a.at - b.at);
}

function workersOf({attempts}: LogLine): string[] {
	return Array.isArray(attempts) ? attempts.map(attempt => String((attempt as {worker?: unknown}).worker)) : [];
}

function parseLine(text: string): LogLine | undefined {
	try {
		const value = JSON.parse(text) as Partial<LogLine>;
		return typeof value.at === 'number' && typeof value.event === 'string' && typeof value.self === 'string' ? value as LogLine : undefined;
	} catch {
		// A line that was cut, or of another program.
		return undefined;
	}
}
