import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {
	PlatformHeaderCodec, decodeConfig, decodeWorker, loadSettings, parseDuration,
} from '@apricotwood/platform';
import {RequestKind, RouteTable, WorkerState} from '@apricotwood/steering';
import {createOperatorConfig} from '@apricotwood/platform/standin';
import {captureFindings} from '../fixtures/findings.js';

test('config: a complete configuration is decoded to SteeringConfig', () => {
	const config = decodeConfig(createOperatorConfig(12, ['board'], [['split', 'B.example', '/s/', 'upload', '2.5s', '300ms', 3, null, 1, false, ['a'], [{service: 'board', weight: 9}, {service: 'board', weight: 0}]]]));
	assert.equal(config.version, 12);
	assert.deepEqual(config.routes.at(-1), {
		name: 'split', host: 'b.example', prefix: '/s/', kind: RequestKind.Upload, timeoutMs: 2500, targetMs: 300, priority: 3, maxAttempts: 1, hasAffinity: false, homeRegions: ['a'], shares: [{service: 'board', weight: 9}],
	});
	assert.deepEqual(config.services, [{name: 'board', healthPath: '/health', maxConnections: 100, warmupMs: 1000, warmupPerSecond: 5.1}]);
	assert.equal(config.limits.headerTimeoutMs, 3000);
});

// Column indices: 2 path_prefix, 4 timeout, 7 service, 8 max_attempts, 11 weighted_services.
const createRouteConfig = (fields: Record<number, unknown>) => {
	const row: unknown[] = ['r', 'a.example', '/r/', 'idempotent', '1s', '1s', 1, 'board', 2, true, [], null];
	for (const [index, value] of Object.entries(fields)) {
		row[Number(index)] = value;
	}

	return createOperatorConfig(2, ['board'], [row]);
};

for (const [name, config, finding] of [
	['a version without its letter', {...createOperatorConfig(1, ['board']), version: '7'}, 'version: must be r followed by a number'],
	['an unknown service', createRouteConfig({7: 'nowhere'}), 'routes[3]: leads to nowhere, which is not among the services'],
	['no service at all', createRouteConfig({7: null}), 'routes[3]: names no service with a weight above 0'],
	['no attempts', createRouteConfig({8: 0}), 'routes[3].max_attempts: must be 1 or more'],
	['a weight below zero', createRouteConfig({11: [{service: 'board', weight: -1}]}), 'routes[3].weighted_services[0].weight: must be 0 or more'],
	['a time without its unit', createRouteConfig({4: '15'}), 'routes[3].timeout: must be a number with its unit, such as 1500ms or 2.5s'],
	['a prefix without its slash', createRouteConfig({2: '/r'}), 'routes[3].path_prefix: must start and end with a slash'],
] as const) {
	test(`config: ${name} is reported with its path in the configuration`, () => {
		assert.deepEqual(captureFindings(() => decodeConfig(config)), [finding]);
	});
}

test('config: an incomplete or null value is rejected', () => {
	assert.ok(captureFindings(() => decodeConfig({version: 'r3'})).length > 0);
	assert.ok(captureFindings(() => decodeConfig(null)).length > 0); // eslint-disable-line unicorn/no-null
});

test('routes: the longest prefix matches, host names are compared without port and case', () => {
	const table = new RouteTable(decodeConfig(createOperatorConfig(1, ['board'], [['deep', 'a.example', '/read/deep/', 'idempotent', '1s', '1s', 1, 'board', 2, true, [], null]])));
	assert.equal(table.match('A.example:80', '/read/deep/x')?.name, 'deep');
	assert.equal(table.match('a.example', '/read/deeper')?.name, 'read');
	assert.equal(table.match('a.example', '/read'), undefined);
	assert.equal(table.match('b.example', '/read/x'), undefined);
});

const ENTRY = {
	addr: '10.0.0.1:80', born: 5, info: {service: 'board', zone: 'a1', version: 'v1', slots: 6}, status: {state: 'ready', sequence: 1, cold_remaining: '1.5s'},
};

test('worker: a complete entry is decoded to WorkerRegistration', () => {
	assert.deepEqual(decodeWorker('w', ENTRY), {
		id: 'w', service: 'board', address: '10.0.0.1:80', zone: 'a1', slots: 6, state: WorkerState.Ready, coldMs: 1500, bornMs: 5, sequence: 1,
	});
	assert.equal(decodeWorker('w', {...ENTRY, status: {...ENTRY.status, state: 'draining'}}).state, WorkerState.Draining);
});

for (const [name, entry] of [
	['a value that is not an object', 7],
	['no address', {...ENTRY, addr: undefined}],
	['an invalid address', {...ENTRY, addr: 'here'}],
	['an unknown state', {...ENTRY, status: {...ENTRY.status, state: 'dancing'}}],
	['slots as text', {...ENTRY, info: {...ENTRY.info, slots: '6'}}],
	['no slots', {...ENTRY, info: {...ENTRY.info, slots: 0}}],
	['an invalid remaining warm-up time', {...ENTRY, status: {...ENTRY.status, cold_remaining: 'soon'}}],
] as const) {
	test(`worker: ${name} is rejected`, () => {
		assert.ok(captureFindings(() => decodeWorker('w', entry)).length > 0);
	});
}

for (const [text, ms] of [['1500ms', 1500], ['2.5s', 2500], ['0ms', 0], ['5', undefined], ['-1s', undefined], ['1m', undefined], ['', undefined]] as const) {
	test(`duration: '${text}' is ${ms}`, () => {
		assert.equal(parseDuration(text), ms);
	});
}

test('headers of requests, responses and health checks are decoded', () => {
	const codec = new PlatformHeaderCodec();
	assert.deepEqual(codec.parseRequestHeaders({'request-id': 'r', 'request-deadline-ms': '900', 'affinity-key': 'k'}), {requestId: 'r', waitsMs: 900, object: 'k'});
	assert.equal(codec.parseRequestHeaders({'request-deadline-ms': 'soon'}).waitsMs, undefined);
	assert.deepEqual(codec.parseResponseHeaders(200, {'server-signature': 's', 'server-load': '3,1,6'}), {
		requestId: undefined, isSigned: true, isNotRun: false, isOtherWorker: false, load: {running: 3, waiting: 1}, rateLimit: undefined, isDraining: false, retryAfterMs: undefined,
	});
	for (const [text, perSecond] of [['2.8', 2.8], ['0', 0], ['few', undefined], ['-1', undefined]] as const) {
		assert.equal(codec.parseResponseHeaders(503, {'server-limit': text}).rateLimit, perSecond);
	}

	assert.equal(codec.parseResponseHeaders(421, {}).isOtherWorker, true);
	assert.equal(codec.parseResponseHeaders(503, {'not-executed': '1'}).isNotRun, true);
	assert.equal(codec.parseResponseHeaders(200, {'server-load': 'much'}).load, undefined);
	assert.deepEqual(codec.parseHealthCheck(503, {'instance-id': 'w', 'cold-remaining-ms': '700'}), {
		isHealthy: false, worker: 'w', coldMs: 700, isDraining: false, retryAfterMs: undefined, rateLimit: undefined,
	});
});

test('what a worker says of itself is decoded from responses and health checks alike', () => {
	const codec = new PlatformHeaderCodec();
	for (const [text, isDraining] of [['1', true], ['0', false], ['', false], ['yes', false]] as const) {
		assert.equal(codec.parseResponseHeaders(200, {'server-leaving': text}).isDraining, isDraining);
		assert.equal(codec.parseHealthCheck(503, {'server-leaving': text}).isDraining, isDraining);
	}

	const times = [['3', 3000], ['0.25', 250], ['0', 0], ['1000000000', 1e12], ['', undefined], ['-1', undefined], ['1e3', undefined], ['soon', undefined], ['1, 2', undefined], ['Fri, 04 Dec 2026 18:00:00 GMT', undefined]] as const;
	for (const [text, retryAfterMs] of times) {
		assert.equal(codec.parseResponseHeaders(503, {'retry-after': text}).retryAfterMs, retryAfterMs);
		assert.equal(codec.parseHealthCheck(503, {'retry-after': text}).retryAfterMs, retryAfterMs);
	}

	assert.equal(codec.parseResponseHeaders(503, {'retry-after': ['1', '2']}).retryAfterMs, undefined);
	assert.equal(codec.parseResponseHeaders(429, {'retry-after': '3'}).retryAfterMs, undefined);
	assert.equal(codec.parseResponseHeaders(200, {'retry-after': '3'}).retryAfterMs, undefined);
});

const SETTINGS = {
	node: 'edge-1', ip: '10.1.0.15', zone: 'a1', region: 'a', internal_ports: [7620, 7635], seed_nodes: ['10.2.0.1:8649'], zones: {a1: 'a'}, listen_addrs: {edge_addr: '10.1.0.15:8641', ready_addr: '10.1.0.15:8640', directory: '10.1.0.15:8644'}, bounds: {grace: '6s', ttl_max: '1s'}, platform: {addr: '10.200.1.7:8642'}, later: {unknown: true},
};

/** Loads settings from a temporary file with the given text. */
function loadFromText(text: string) {
	const folder = mkdtempSync(path.join(tmpdir(), 'apricotwood-'));
	const file = path.join(folder, 'local.json');
	writeFileSync(file, text);
	try {
		return loadSettings(file, 1);
	} finally {
		rmSync(folder, {recursive: true});
	}
}

test('settings: defaults are applied and unknown keys ignored', () => {
	const settings = loadFromText(JSON.stringify(SETTINGS));
	assert.equal(settings.entry.self.peerPort, 7620);
	assert.equal(settings.entry.graceMs, 6000);
	assert.deepEqual(settings.entry.seeds, ['10.2.0.1']);
	assert.deepEqual(settings.entry.retryBudget, {ratio: 0.2, extra: 0, windowMs: 10_000});
	assert.equal(settings.directoryTtlMs, 1000);
});

test('settings: of a seed only the IP address is used, with or without a port', () => {
	const {entry} = loadFromText(JSON.stringify({...SETTINGS, seed_nodes: ['10.0.0.1:8649', '10.0.0.2']}));
	assert.deepEqual(entry.seeds, ['10.0.0.1', '10.0.0.2']);
});

test('settings: all validation errors are reported with their paths in the settings', () => {
	const findings = captureFindings(() => loadFromText(JSON.stringify({...SETTINGS, node: '', platform: {addr: 'there'}, bounds: {grace: 6}})));
	assert.deepEqual(findings.map(finding => finding.split(':')[0]), ['node', 'bounds.grace', 'platform.addr']);
	assert.equal(captureFindings(() => loadFromText('{')).length, 1);
	assert.equal(captureFindings(() => loadSettings('/nowhere/local.json', 1)).length, 1);
});
