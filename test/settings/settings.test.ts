import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import fc from 'fast-check';
import {loadSettings, parseSettings} from '@apricotwood/daemon';
import {FindingsError} from '@apricotwood/findings';

const SEED = 20_261_204;
const VALID_SETTINGS = {id: 'h1', zone: 'z1', region: 'r1', listen: {address: '127.0.0.1', port: 0}};

function listPlaces(value: unknown): string[] {
	try {
		parseSettings(value);
		return [];
	} catch (error) {
		assert.ok(error instanceof FindingsError);
		return error.findings.map(finding => finding.place);
	}
}

test('minimal settings are valid and get the defaults', () => {
	const settings = parseSettings(VALID_SETTINGS);
	assert.equal(settings.lookup.ttlMs, 5000);
	assert.equal(settings.control.fenceMs, 20_000);
	assert.equal(settings.request.probePath, '/load');
});

type InvalidCase = readonly [name: string, change: Record<string, unknown>, places: readonly string[]];

const INVALID_SETTINGS: readonly InvalidCase[] = [
	['several schema violations at once', {id: 'A', listen: {address: 'localhost', port: 70_000}, extra: 1}, ['id', 'listen.address', 'listen.port', 'extra']],
	['an unknown key in a nested object', {lookup: {ttl: 5}}, ['lookup.ttl']],
	['a duration that is not an integer', {request: {maxWaitMs: 0.5}}, ['request.maxWaitMs']],
	['a fence time not longer than the isolation time', {control: {isolationMs: 9000, fenceMs: 9000}}, ['control.fenceMs']],
	['a grace period too short for a drain', {shutdown: {graceMs: 999}}, ['shutdown.graceMs']],
	['a ticket that can expire before a cached answer', {lookup: {ttlMs: 5000, ticketTtlMs: 5000}}, ['lookup.ticketTtlMs']],
	['a platform origin without a cluster key', {platform: {origin: 'http://192.0.2.1:80'}}, ['clusterKey']],
	['a platform origin with a host name', {platform: {origin: 'http://store.example'}}, ['platform.origin']],
	['both a cluster key and a cluster key file', {clusterKey: 'x'.repeat(16), clusterKeyFile: 'f'}, ['clusterKeyFile']],
	['a non-loopback address without operators', {listen: {address: '192.0.2.1', port: 1}}, ['operators']],
	['a token instead of its hash', {operators: [{name: 'o', tokenHash: 'secret'}]}, ['operators[0].tokenHash']],
];

for (const [name, change, places] of INVALID_SETTINGS) {
	test(`${name}: each finding is reported at its place`, () => {
		assert.deepEqual(new Set(listPlaces({...VALID_SETTINGS, ...change})), new Set(places));
	});
}

test(`arbitrary JSON is rejected with findings, never with another error (seed ${SEED})`, () => {
	fc.assert(fc.property(fc.jsonValue(), value => {
		assert.ok(listPlaces(value).length > 0);
	}), {seed: SEED, numRuns: 300});
});

test('a file that is missing or not JSON is reported as a finding', () => {
	const folder = mkdtempSync(join(tmpdir(), 'settings-'));
	writeFileSync(join(folder, 'broken.json'), '{"id": ');
	assert.throws(() => loadSettings(join(folder, 'none.json')), FindingsError);
	assert.throws(() => loadSettings(join(folder, 'broken.json')), FindingsError);
});
