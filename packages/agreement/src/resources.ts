import {type AgreementState} from './state.js';

/** The kinds of countable resource that the agreement limits. */
export enum ResourceKind {
	Worker = 'worker',
	Member = 'member',
	Rate = 'rate',
	Service = 'service',
	Region = 'region',
	Shift = 'shift',
	Link = 'link',
}

/** A countable resource: at most `limit` units of it are in use at any time, over all hosts. */
export type Resource = {
	readonly kind: ResourceKind;
	/** Identifies the resource over all versions of the agreement. */
	readonly key: string;
	readonly limit: number;
	/** The only region whose hosts may hold it; undefined for any. */
	readonly region: string | undefined;
	/** Group of demand by which the units are divided among hosts. */
	readonly group: string;
};

/** The group of resources that follow a host's whole demand. */
export const TOTAL_DEMAND_GROUP = 'all';

/** The group of resources that follow the demand for one service. */
export function serviceDemandGroup(service: string): string {
	return `service/${service}`;
}

/** The group of resources that follow the demand of one member's cap. */
export function memberDemandGroup(member: string, capService: string): string {
	return `member/${member}/${capService}`;
}

/** Every countable resource of one version of the agreement. */
export function listResources(state: AgreementState): Resource[] {
	const {agreement} = state;
	const resources: Resource[] = [];
	const add = (kind: ResourceKind, name: string, limit: number, group: string, region?: string) => {
		resources.push({
			kind, key: `${kind}/${name}`, limit, group, region,
		});
	};

	for (const worker of agreement.workers) {
		add(ResourceKind.Worker, worker.name, worker.slots, serviceDemandGroup(worker.service), state.regionOfWorker(worker));
	}

	for (const member of agreement.members) {
		for (const cap of member.caps) {
			add(ResourceKind.Member, `${member.name}/${cap.service}`, cap.concurrent, memberDemandGroup(member.name, cap.service));
			if (cap.perSecond !== undefined) {
				add(ResourceKind.Rate, `${member.name}/${cap.service}`, cap.perSecond, memberDemandGroup(member.name, cap.service));
			}
		}
	}

	for (const service of agreement.services) {
		if (service.cap !== undefined) {
			add(ResourceKind.Service, service.name, service.cap, serviceDemandGroup(service.name));
		}
	}

	for (const region of agreement.regions) {
		if (region.cap !== undefined) {
			add(ResourceKind.Region, region.name, region.cap, TOTAL_DEMAND_GROUP, region.name);
		}
	}

	for (const shift of agreement.shifts) {
		add(ResourceKind.Shift, shift.name, shift.cap, TOTAL_DEMAND_GROUP, shift.to);
	}

	for (const link of agreement.links) {
		add(ResourceKind.Link, `${link.from}>${link.to}`, link.mbit, TOTAL_DEMAND_GROUP, link.to);
	}

	return resources;
}
