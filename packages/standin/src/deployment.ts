import {
	Priority, RepeatPolicy, checkAgreement, diffAgreements, EMPTY_AGREEMENT, type Agreement, type Patch,
} from '@apricotwood/agreement';

/** Service of an example deployment and the size of its worker pool. */
type DeploymentService = {
	readonly name: string;
	readonly repeat: RepeatPolicy;
	readonly workers: number;
	/** Concurrent requests per worker. */
	readonly slots: number;
	readonly deadlineMs: number;
};

/** Example deployment: regions, services, links between regions and client accounts. */
export type Deployment = {
	readonly name: string;
	readonly priority: Priority;
	readonly regions: readonly string[];
	readonly services: readonly DeploymentService[];
	/** Link capacity between each pair of regions, per direction, Mbit/s. */
	readonly linkMbit: number;
	/** Names of client accounts. */
	readonly members: readonly string[];
};

const UPLOAD_DEADLINE_MS = 600_000;

/** Fraser Reach Nosing Works: an example deployment that prioritizes headroom. */
export const FRASER_REACH: Deployment = {
	name: 'fraser-reach',
	priority: Priority.Headroom,
	regions: ['lower-mainland', 'okanagan', 'island'],
	services: [
		{
			name: 'catalogue', repeat: RepeatPolicy.Idempotent, workers: 16, slots: 6, deadlineMs: 2000,
		},
		{
			name: 'dispatch', repeat: RepeatPolicy.AtMostOnce, workers: 12, slots: 4, deadlineMs: 5000,
		},
		{
			name: 'photo-intake', repeat: RepeatPolicy.Upload, workers: 12, slots: 3, deadlineMs: UPLOAD_DEADLINE_MS,
		},
		{
			name: 'orders', repeat: RepeatPolicy.AtMostOnce, workers: 12, slots: 3, deadlineMs: 5000,
		},
	],
	linkMbit: 4000,
	members: ['site-crews', 'contractors', 'installers'],
};

/** Hooghly Oars Franchise Office: an example deployment that prioritizes latency. */
export const HOOGHLY_OARS: Deployment = {
	name: 'hooghly-oars',
	priority: Priority.Latency,
	regions: ['kolkata', 'siliguri', 'durgapur'],
	services: [
		{
			name: 'fleet-board', repeat: RepeatPolicy.Idempotent, workers: 18, slots: 5, deadlineMs: 2000,
		},
		{
			name: 'booking-desk', repeat: RepeatPolicy.AtMostOnce, workers: 12, slots: 3, deadlineMs: 5000,
		},
		{
			name: 'footage-locker', repeat: RepeatPolicy.Upload, workers: 12, slots: 3, deadlineMs: UPLOAD_DEADLINE_MS,
		},
		{
			name: 'crew-sheet', repeat: RepeatPolicy.AtMostOnce, workers: 12, slots: 3, deadlineMs: 5000,
		},
	],
	linkMbit: 280,
	members: ['clubs', 'coaches', 'franchise-office'],
};

/** Returns the address that a worker listens on; `index` counts the workers of all services. */
export type EndpointResolver = (name: string, index: number) => {readonly address: string; readonly port: number};

const ZONES_PER_REGION = 2;

/** Returns the names of a region's availability zones. */
export function zonesOf(region: string): string[] {
	return Array.from({length: ZONES_PER_REGION}, (_, index) => `${region}-${index + 1}`);
}

/**
 * Creates the agreement of a deployment: one site per zone, the workers of each
 * service distributed round-robin over the sites, and one cap per client account
 * that covers all slots.
 * @throws {FindingsError} if the agreement is invalid.
 */
export function createAgreement(deployment: Deployment, resolveEndpoint: EndpointResolver): Agreement {
	const {regions, services, members, linkMbit, priority} = deployment;
	const zones = regions.flatMap(region => zonesOf(region));
	const workers: Array<Record<string, unknown>> = [];
	for (const service of services) {
		for (let index = 0; index < service.workers; index++) {
			const name = `${service.name}-${index + 1}`;
			workers.push({
				name, service: service.name, site: `${zones[index % zones.length]}-site`, slots: service.slots, ...resolveEndpoint(name, workers.length),
			});
		}
	}

	const pairs = regions.flatMap(from => regions.filter(to => to !== from).map(to => ({from, to})));
	const totalSlots = services.reduce((sum, {workers: count, slots}) => sum + (count * slots), 0);
	return checkAgreement({
		priority,
		regions: regions.map(name => ({name, zones: zonesOf(name)})),
		sites: zones.map(zone => ({name: `${zone}-site`, zone})),
		services: services.map(({name, repeat, deadlineMs}) => ({
			name, repeat, deadlineMs, linkMbit: repeat === RepeatPolicy.Upload ? 20 : 1,
		})),
		workers,
		members: members.map(name => ({name, caps: [{service: '*', concurrent: totalSlots}]})),
		links: pairs.map(({from, to}) => ({from, to, mbit: linkMbit})),
		shifts: pairs.map(({from, to}) => ({
			name: `${from}-to-${to}`, service: '*', from, to, percent: 0, cap: 20,
		})),
		blocks: zones.map((zone, index) => ({prefix: `127.${index + 1}.0.0/16`, site: `${zone}-site`})),
		drains: [],
	});
}

/** Creates the patch that installs a whole agreement on a system at version 0. */
export function createInitialPatch(agreement: Agreement): Patch {
	return {id: 'first', against: 0, changes: diffAgreements(EMPTY_AGREEMENT, agreement)};
}
