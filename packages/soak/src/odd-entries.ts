import type {FakeStore} from '@apricotwood/platform/standin';

/** Depth of nesting at which a recursive reader exhausts its stack. */
const NESTING_DEPTH = 200_000;

/** Writes an entry that cannot be used. */
type OddWriter = (store: FakeStore, id: string, service: string) => void;

function writeWorker(fields: (service: string) => Record<string, unknown>): OddWriter {
	return (store, id, service) => {
		store.putWorker(id, {
			addr: '127.0.0.1:80', born: 1, info: {service, zone: 'a1', version: 'v1', slots: 4}, status: {state: 'ready', sequence: 1, cold_remaining: '0ms'}, ...fields(service),
		});
	};
}

function writeHost(peerPort: number): OddWriter {
	return (store, id) => {
		store.putHost(id, {
			id, ip: '127.0.0.1', peerPort, callerAddress: '127.0.0.1:80', zone: 'a1', region: 'a', startedMs: 1,
		});
	};
}

/** Variants of `FaultKind.OddEntry`. */
export const ODD_WRITERS: readonly OddWriter[] = [
	writeWorker(() => ({addr: '127.0.0.1:99999'})),
	writeWorker(() => ({addr: '127.0.0.1:0'})),
	writeWorker(() => ({addr: '999.1.1.1:80'})),
	writeWorker(service => ({info: {service, zone: 'a1', version: 'v1', slots: 1e15}})),
	writeWorker(() => ({status: {state: 'ready', sequence: 1, cold_remaining: `${'9'.repeat(400)}s`}})),
	writeWorker(() => ({born: 1e300})),
	(store, id) => {
		store.putWorker(id, '['.repeat(NESTING_DEPTH) + ']'.repeat(NESTING_DEPTH));
	},
	(store, id) => {
		store.putWorker(id, '{"addr":1e400}');
	},
	writeHost(99_999),
	writeHost(-1),
	writeHost(1.5),
];
