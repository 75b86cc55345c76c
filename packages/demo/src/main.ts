import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {SystemClock, SystemRandom} from '@apricotwood/clock';
import {Host, parseSettings} from '@apricotwood/daemon';
import {createMemoryPlatform} from '@apricotwood/store';
import {
	FRASER_REACH, HOOGHLY_OARS, StandinWorker, createAgreement, createInitialPatch, zonesOf, type Deployment,
} from '@apricotwood/standin';
import {
	BatchSink, LogFormat, LogLevel, Metrics, createLog,
} from '@apricotwood/telemetry';

/** First port of the demo's entry hosts. */
const FIRST_PORT = 8401;
const CLUSTER_KEY = 'demo-key-on-loopback-only';
const READY_POLL_MS = 50;
const LOOKUP_TTL_MS = 2000;

const clock = new SystemClock();
const random = new SystemRandom();

/** Runs one of the brief's deployments whole: stand-in workers, a platform in memory, an entry host in each region. */
async function main(deployment: Deployment): Promise<void> {
	const stopController = new AbortController();
	for (const name of ['SIGTERM', 'SIGINT'] as const) {
		process.on(name, () => {
			stopController.abort();
		});
	}

	const workers = await startWorkers(deployment);
	const agreement = createAgreement(deployment, name => ({address: '127.0.0.1', port: workers.get(name)?.port ?? 1}));
	const sink = new BatchSink(process.stdout.fd, clock);
	const platform = createMemoryPlatform();
	const hosts = await Promise.all(deployment.regions.map(async (region, index) => Host.start({
		settings: parseSettings({
			id: `host-${index + 1}`,
			region,
			zone: zonesOf(region)[0],
			listen: {address: '127.0.0.1', port: FIRST_PORT + index},
			log: {format: 'json'},
			lookup: {ttlMs: LOOKUP_TTL_MS},
		}),
		clusterKey: CLUSTER_KEY,
		platform,
		clock,
		random,
		sink,
		log: createLog({
			format: LogFormat.Json, level: LogLevel.Info, sink, clock, fields: {self: `host-${index + 1}`},
		}),
		metrics: new Metrics(),
	})));
	const runs = hosts.map(async host => host.run(stopController.signal));
	const [first] = hosts;
	await fetch(`http://127.0.0.1:${first?.port}/v1/agreement/patches`, {method: 'POST', body: JSON.stringify(createInitialPatch(agreement))});
	await waitUntilReady(hosts, deployment, stopController.signal);
	if (!stopController.signal.aborted) {
		sink.flush();
		printUsageHints(deployment, first?.port ?? FIRST_PORT);
	}

	await Promise.all(runs);
	await Promise.all(Array.from(workers.values(), async worker => worker.stop()));
	await sink.drain();
}

async function startWorkers(deployment: Deployment): Promise<Map<string, StandinWorker>> {
	const workers = new Map<string, StandinWorker>();
	for (const {name, workers: count, slots} of deployment.services) {
		for (let index = 1; index <= count; index++) {
			const worker = new StandinWorker({name: `${name}-${index}`, clock, slots});
			workers.set(worker.name, worker);
		}
	}

	await Promise.all(Array.from(workers.values(), async worker => worker.start()));
	return workers;
}

/** Waits until look-ups find a host in every region, so that the printed commands work at once. */
async function waitUntilReady(hosts: readonly Host[], {services, members}: Deployment, signal: AbortSignal): Promise<void> {
	const paths = hosts.map((_host, index) => `/v1/lookup?service=${services[0]?.name}&member=${members[0]}&addr=127.${1 + (index * 2)}.0.9`);
	while (!signal.aborted) {
		const answers = await Promise.all(hosts.map(async ({port}, index) => fetch(`http://127.0.0.1:${port}${paths[index]}`))); // eslint-disable-line no-await-in-loop
		if (answers.every(answer => answer.ok)) {
			return;
		}

		await delay(READY_POLL_MS); // eslint-disable-line no-await-in-loop
	}
}

function printUsageHints({name, services, members}: Deployment, port: number): void {
	const origin = `http://127.0.0.1:${port}`;
	const [idempotentService, atMostOnceService] = services;
	const [member] = members;
	console.error(`
${name} is up: ${services.length} services, entry hosts on ports ${port} and following. Decisions are logged to standard output.

Look-up:   curl '${origin}/v1/lookup?service=${idempotentService?.name}&member=${member}&addr=127.1.0.9'
Request:   curl -i -H 'Apricotwood-Member: ${member}' '${origin}/s/${idempotentService?.name}/items/1'
Once only: curl -i -H 'Apricotwood-Member: ${member}' -H 'Apricotwood-Request-Id: visit-1' -d seat=4 '${origin}/s/${atMostOnceService?.name}/visits'
Operator:  curl '${origin}/v1/agreement/status'
Drain:     npx apricotctl drain worker ${idempotentService?.name}-1 --host ${origin}

Ctrl-C stops gracefully.
`);
}

await main(process.argv[2] === FRASER_REACH.name ? FRASER_REACH : HOOGHLY_OARS);
