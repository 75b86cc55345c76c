import {once} from 'node:events';
import process from 'node:process';
import {FRASER_REACH, HOOGHLY_OARS} from '@apricotwood/standin';
import {Cluster} from './cluster.js';

const HOST_COUNT = 10;
const SERVICE_TIME_MS = 20;

/** Runs ten entry hosts as processes over a stand-in platform until Ctrl-C. */
const deployment = process.argv[2] === FRASER_REACH.name ? FRASER_REACH : HOOGHLY_OARS;
const cluster = await Cluster.start({
	deployment, hosts: HOST_COUNT, serviceMs: SERVICE_TIME_MS, logLevel: 'info', inheritOutput: true,
});
console.error(`${deployment.name}: ${cluster.hosts.map(({id, zone, port}) => `${id} (${zone}) http://127.0.0.1:${port}`).join('\n')}`);
await once(process, 'SIGINT');
await cluster.stop(true);
