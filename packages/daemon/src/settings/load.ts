import {readFileSync} from 'node:fs';
import {FindingsError, parseOrThrow, type Finding} from '@apricotwood/findings';
import {settingsSchema, type Settings} from './schema.js';

/**
 * Checks settings: their shape, then what must hold between them.
 * @throws {FindingsError} with every finding and its place.
 */
export function parseSettings(value: unknown): Settings {
	const settings = parseOrThrow('settings', settingsSchema, value);
	const findings = checkCrossFieldRules(settings);
	if (findings.length > 0) {
		throw new FindingsError('settings', findings);
	}

	return settings;
}

/**
 * Reads settings from a JSON file.
 * @throws {FindingsError} when the file cannot be read, is not JSON or does not fit.
 */
export function loadSettings(path: string): Settings {
	return parseSettings(readJsonFile(path));
}

/** @throws {FindingsError} when the file cannot be read or is not JSON. */
export function readJsonFile(path: string): unknown {
	try {
		return JSON.parse(readFileSync(path, 'utf8'));
	} catch (error) {
		throw new FindingsError(path, [{place: '', message: `${(error as Error).message}; give a readable JSON file`}]);
	}
}

function checkCrossFieldRules({control, lookup, clusterKey, clusterKeyFile, platform, operators, listen}: Settings): Finding[] {
	const findings: Finding[] = [];
	if (control.fenceMs <= control.isolationMs) {
		findings.push({place: 'control.fenceMs', message: 'must be more than control.isolationMs, or units return while their holder still works'});
	}

	if (control.isolationMs <= control.gossipIntervalMs) {
		findings.push({place: 'control.isolationMs', message: 'must be more than control.gossipIntervalMs'});
	}

	if (lookup.ticketTtlMs <= lookup.ttlMs) {
		findings.push({place: 'lookup.ticketTtlMs', message: 'must be more than lookup.ttlMs, or cached answers hold expired tickets'});
	}

	if (clusterKey !== undefined && clusterKeyFile !== undefined) {
		findings.push({place: 'clusterKeyFile', message: 'stands beside clusterKey; keep one of them'});
	}

	const isKeyMissing = platform.origin !== undefined && clusterKey === undefined && clusterKeyFile === undefined;
	if (isKeyMissing) {
		findings.push({place: 'clusterKey', message: 'is needed with platform.origin; set it or clusterKeyFile to the same key on every host'});
	}

	if (operators.length === 0 && !isLoopback(listen.address)) {
		findings.push({place: 'operators', message: 'must hold 1 operator or more unless listen.address is a loopback address'});
	}

	return findings;
}

/** Whether an IP number is a loopback address. */
export function isLoopback(address: string): boolean {
	return address.startsWith('127.') || address === '::1';
}
