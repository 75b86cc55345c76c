import {
	DrainKind, RepeatPolicy, type CoreAgreement, type Cap, type Link, type Member, type Region, type Service, type Shift, type Worker,
} from './types.js';

/** One version of the agreement with the indexes that decisions read. Never changed after it is built. */
export class AgreementState {
	readonly regions: ReadonlyMap<string, Region>;
	readonly services: ReadonlyMap<string, Service>;
	readonly workers: ReadonlyMap<string, Worker>;
	readonly members: ReadonlyMap<string, Member>;
	readonly links: ReadonlyMap<string, Link>;
	readonly #caps = new Map<Member, Map<string, readonly Cap[]>>();
	readonly #regionByZone = new Map<string, string>();
	readonly #zoneBySite = new Map<string, string>();
	readonly #drains: ReadonlySet<string>;
	readonly #workersByRegionAndService = new Map<string, Worker[]>();

	constructor(readonly version: number, readonly agreement: CoreAgreement) {
		this.regions = indexByName(agreement.regions);
		this.services = indexByName(agreement.services);
		this.workers = indexByName(agreement.workers);
		this.members = indexByName(agreement.members);
		this.links = new Map(agreement.links.map(link => [`${link.from}>${link.to}`, link]));
		this.#drains = new Set(agreement.drains.map(drain => `${drain.kind}/${drain.name}`));
		this.#buildLocationIndexes();
	}

	regionOfZone(zone: string): string | undefined {
		return this.#regionByZone.get(zone);
	}

	zoneOfSite(site: string): string | undefined {
		return this.#zoneBySite.get(site);
	}

	regionOfSite(site: string): string | undefined {
		const zone = this.#zoneBySite.get(site);
		return zone === undefined ? undefined : this.#regionByZone.get(zone);
	}

	regionOfWorker(worker: Worker): string | undefined {
		return this.regionOfSite(worker.site);
	}

	/** The workers of a service in a region, drained ones included. */
	workersIn(region: string, service: string): readonly Worker[] {
		return this.#workersByRegionAndService.get(`${region}/${service}`) ?? [];
	}

	isDrained(kind: DrainKind, name: string): boolean {
		return this.#drains.has(`${kind}/${name}`);
	}

	/** Whether the worker itself, or any place it stands in, is drained. */
	isWorkerDrained(worker: Worker): boolean {
		if (this.#drains.size === 0) {
			return false;
		}

		return this.isDrained(DrainKind.Worker, worker.name)
			|| this.isDrained(DrainKind.Site, worker.site)
			|| this.isZoneDrained(this.zoneOfSite(worker.site) ?? '');
	}

	/** Whether a zone, or the region it stands in, is drained. */
	isZoneDrained(zone: string): boolean {
		return this.isDrained(DrainKind.Zone, zone) || this.isDrained(DrainKind.Region, this.regionOfZone(zone) ?? '');
	}

	/** The shifts that let a service's callers cross from one region, in the agreement's order. */
	shiftsFrom(region: string, service: string): Shift[] {
		return this.agreement.shifts.filter(shift => shift.from === region && (shift.service === '*' || shift.service === service));
	}

	/** The caps on a member that a request of a service counts against; empty when it may not use the service. The same list each time. */
	capsOf(member: Member, service: string): readonly Cap[] {
		let byService = this.#caps.get(member);
		if (!byService) {
			byService = new Map();
			this.#caps.set(member, byService);
		}

		let caps = byService.get(service);
		if (!caps) {
			caps = member.caps.filter(cap => cap.service === '*' || cap.service === service);
			byService.set(service, caps);
		}

		return caps;
	}

	/** What may be done again with a request of this method. */
	repeatPolicyOf(service: Service, method: string): RepeatPolicy {
		const methods: readonly string[] = service.idempotentMethods;
		return methods.includes(method) ? RepeatPolicy.Idempotent : service.repeat;
	}

	#buildLocationIndexes(): void {
		for (const region of this.agreement.regions) {
			for (const zone of region.zones) {
				this.#regionByZone.set(zone, region.name);
			}
		}

		for (const site of this.agreement.sites) {
			this.#zoneBySite.set(site.name, site.zone);
		}

		for (const worker of this.agreement.workers) {
			const key = `${this.regionOfSite(worker.site) ?? ''}/${worker.service}`;
			const workers = this.#workersByRegionAndService.get(key);
			if (workers) {
				workers.push(worker);
			} else {
				this.#workersByRegionAndService.set(key, [worker]);
			}
		}
	}
}

function indexByName<T extends {readonly name: string}>(items: readonly T[]): Map<string, T> {
	return new Map(items.map(item => [item.name, item]));
}
