// A request crashes each worker that runs it. All hosts are killed at the same moment and start again; the request comes again at them.
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	CONTACT_MS, addHost, addWorker, awaitReady, createConfig, createDeployment, runCase, send,
} from '../6/rig.mjs';

const ZONES = {z1: 'r1', z2: 'r1', z3: 'r2'};
const DEADLY_PATH = '/book/deadly';
/** Times at which the request comes to a host, ms from the first one; the hosts are down or not in touch meanwhile. */
const ARRIVALS_MS = [0, 2000, 4000, 10_000, 12_000, 14_000, 16_000, 18_000, 20_000];
/** Time at which the hosts are killed, ms; three workers have crashed by then. */
const KILL_AT_MS = 5000;
const RESTART_MS = 500;
/** Further sends to workers that the rule allows. */
const ALLOWED = 3;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({recorder, isTroubled, setDeployment}) => {
	const deployment = await createDeployment(ZONES);
	setDeployment(deployment);
	const {store, hosts} = deployment;
	const crashes = [];
	const arrivals = [];
	for (let index = 0; index < 9; index++) {
		const worker = await addWorker(deployment, {id: `w-${index}`, service: 'lookup', zone: Object.keys(ZONES)[index % 3]}); // eslint-disable-line no-await-in-loop
		worker.deadlyPath = DEADLY_PATH;
		worker.onEvent = (event, {id}, detail) => {
			if (event === 'crash') {
				crashes.push(Date.now());
				recorder.write(`worker ${id} crashes as it begins to run ${detail}`);
			} else if (event === 'run' && detail.url === DEADLY_PATH) {
				arrivals.push(detail);
			}
		};
	}

	store.put('op', 'config', createConfig(1, [['read', '/read/', 'idempotent', 'lookup'], ['book', '/book/', 'non_idempotent', 'lookup', '1500ms']], ['lookup']));
	for (const [index, zone] of ['z1', 'z1', 'z2', 'z3'].entries()) {
		addHost(deployment, {id: `h-${index}`, zone}).start();
	}

	await awaitReady(hosts);
	await sleep(CONTACT_MS);
	recorder.write('all hosts are ready');
	let isOver = false;
	const traffic = async host => {
		for (let index = 0; !isOver; index++) { // eslint-disable-line no-unmodified-loop-condition
			await send({ip: host.ip, path: `/read/${index % 20}`, headers: {host: 'a.example', 'request-id': `n-${host.id}-${index}`, 'request-deadline-ms': '4000'}}); // eslint-disable-line no-await-in-loop
			await sleep(100); // eslint-disable-line no-await-in-loop
		}
	};

	const restart = async () => {
		recorder.write('all hosts are killed');
		await Promise.all(hosts.map(async host => host.kill()));
		await sleep(RESTART_MS);
		for (const host of hosts) {
			host.start();
		}

		await awaitReady(hosts);
		recorder.write('all hosts are ready again');
	};

	const callers = hosts.map(async host => traffic(host));
	const startMs = Date.now();
	const killed = isTroubled ? sleep(KILL_AT_MS).then(restart) : undefined;
	for (const [index, atMs] of ARRIVALS_MS.entries()) {
		await sleep(Math.max(0, startMs + atMs - Date.now())); // eslint-disable-line no-await-in-loop
		const host = hosts[index % hosts.length];
		// eslint-disable-next-line no-await-in-loop
		const answer = await send({
			ip: host.ip, method: 'POST', path: DEADLY_PATH, body: 'deadly', headers: {host: 'a.example', 'request-id': `d-${index}`, 'request-deadline-ms': '6000'},
		});
		recorder.write(`request d-${index} at host ${host.id}: ${answer.status ?? answer.error} ${answer.body ?? ''}`);
	}

	await killed;
	isOver = true;
	await Promise.all(callers);
	if (crashes.length < 3) {
		throw new Error('fewer than three workers crashed');
	}

	const fromMs = crashes[2] + CONTACT_MS;
	// The host that got the request from its client sends it to the worker.
	const counted = arrivals.filter(({id, atMs}) => atMs > fromMs && atMs >= hosts[Number(id.slice(2)) % hosts.length].startedMs + CONTACT_MS);
	recorder.write(`${arrivals.length} arrivals at workers in all`);
	recorder.write(`later than the contact time after the third crash, from hosts in touch: ${counted.length} (${counted.map(({id}) => id).join(' ')}); allowed: ${ALLOWED}`);
	return counted.length > ALLOWED;
});
