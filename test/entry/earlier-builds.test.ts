import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	after, before, mock, test,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {Ingress} from '@apricotwood/entry';
import {FakeWorker} from '@apricotwood/platform/standin';
import {Partition, PartitionConnector} from '../fixtures/partition-connector.js';
import {TestCluster} from '../fixtures/test-cluster.js';

const workers = [new FakeWorker('w1', 'board'), new FakeWorker('w2', 'board', 'a2')];
const connectors = [new PartitionConnector(), new PartitionConnector(), new PartitionConnector()];
const cluster = new TestCluster({
	firstOctet: 71, zones: ['a1', 'a2', 'b1'], workers, connectors: connectors.map(({connect}) => connect),
});

before(async () => {
	await cluster.start();
});

after(async () => {
	mock.restoreAll();
	await cluster.stop();
});

// A host of 53f2779 has no handler for a request that another host passes on: its peer port answers 404 or 415 itself.
test('what a host of an earlier build answers to a request that it cannot serve does not reach the caller as the answer', async () => {
	mock.method(Ingress.prototype, 'handleForwarded', (req: IncomingMessage, res: ServerResponse) => {
		req.resume();
		res.writeHead(req.method === 'GET' ? 404 : 415, {'content-type': 'application/json'});
		res.end('{"error":{"message":"No procedure found"}}');
	});
	connectors[0]!.begin(Partition.Reset);
	await pause(1500);
	for (const [path, options] of [['/read/x', {}], ['/book/x', {method: 'POST', body: 'a booking'}]] as const) {
		const {status, headers} = await cluster.hosts[0]!.send(path, options);
		assert.equal(status, 503);
		assert.ok(Number(headers['retry-after']) > 0);
	}

	assert.equal(workers.flatMap(({executedRequests}) => executedRequests).length, 0);
});
