import {formatPrefix, parsePrefix} from '@apricotwood/blocks';
import {
	FindingsError, formatPlace, parseOrThrow, type Finding,
} from '@apricotwood/findings';
import {
	agreementSchema, DrainKind, type Agreement, type Block, type Drain, type Link, type Member, type Shift, type Worker,
} from './types.js';

type KnownNames = {
	readonly regions: ReadonlySet<string>;
	readonly zones: ReadonlySet<string>;
	readonly sites: ReadonlySet<string>;
	readonly services: ReadonlySet<string>;
	readonly workers: ReadonlySet<string>;
};

/** Collects findings under one path. */
class FindingCollector {
	readonly findings: Finding[] = [];

	add(path: Array<string | number>, message: string): void {
		this.findings.push({place: formatPlace(path), message});
	}

	/** Notes a name that is not among the known ones. */
	expectKnown(path: Array<string | number>, kind: string, name: string, known: ReadonlySet<string>): void {
		if (!known.has(name)) {
			this.add(path, `"${name}" is not a ${kind} of this agreement; add it or correct the name`);
		}
	}

	/** Notes each key that stands twice in a list. */
	expectUnique<T>(section: string, items: readonly T[], keyOf: (item: T) => string): void {
		const seen = new Set<string>();
		for (const [index, item] of items.entries()) {
			const key = keyOf(item);
			if (seen.has(key)) {
				this.add([section, index], `"${key}" stands twice; keep one of them`);
			}

			seen.add(key);
		}
	}
}

/**
 * Checks a whole agreement: its shape first, then every reference inside it.
 * @throws {FindingsError} with every finding and its place.
 */
export function checkAgreement(value: unknown): Agreement {
	const agreement = parseOrThrow('agreement', agreementSchema, value);
	const collector = new FindingCollector();
	checkUnique(collector, agreement);
	checkReferences(collector, agreement, collectNames(agreement));
	if (collector.findings.length > 0) {
		throw new FindingsError('agreement', collector.findings);
	}

	return {...agreement, blocks: agreement.blocks.map(block => ({...block, prefix: normalisePrefix(block.prefix)}))};
}

/** The one spelling of a prefix; an unreadable one stays as it is. */
export function normalisePrefix(text: string): string {
	const parsed = parsePrefix(text);
	return parsed.ok ? formatPrefix(parsed.prefix) : text;
}

function collectNames(agreement: Agreement): KnownNames {
	const namesOf = (items: ReadonlyArray<{name: string}>) => new Set(items.map(item => item.name));
	return {
		regions: namesOf(agreement.regions),
		zones: new Set(agreement.regions.flatMap(region => region.zones)),
		sites: namesOf(agreement.sites),
		services: namesOf(agreement.services),
		workers: namesOf(agreement.workers),
	};
}

function checkUnique(collector: FindingCollector, agreement: Agreement): void {
	collector.expectUnique('regions', agreement.regions, region => region.name);
	collector.expectUnique('sites', agreement.sites, site => site.name);
	collector.expectUnique('services', agreement.services, service => service.name);
	collector.expectUnique('workers', agreement.workers, worker => worker.name);
	collector.expectUnique('members', agreement.members, member => member.name);
	collector.expectUnique('links', agreement.links, link => `${link.from}>${link.to}`);
	collector.expectUnique('shifts', agreement.shifts, shift => shift.name);
	collector.expectUnique('blocks', agreement.blocks, block => normalisePrefix(block.prefix));
	collector.expectUnique('drains', agreement.drains, drain => `${drain.kind}/${drain.name}`);
	const zones = agreement.regions.flatMap(region => region.zones);
	if (new Set(zones).size < zones.length) {
		collector.add(['regions'], 'an availability zone stands in two regions; give each zone one region');
	}
}

function checkReferences(collector: FindingCollector, agreement: Agreement, names: KnownNames): void {
	for (const [index, site] of agreement.sites.entries()) {
		collector.expectKnown(['sites', index, 'zone'], 'availability zone', site.zone, names.zones);
	}

	for (const [index, worker] of agreement.workers.entries()) {
		checkWorker(collector, index, worker, names);
	}

	for (const [index, member] of agreement.members.entries()) {
		checkMember(collector, index, member, names);
	}

	for (const [index, link] of agreement.links.entries()) {
		checkRegionPair(collector, ['links', index], link, names);
	}

	for (const [index, shift] of agreement.shifts.entries()) {
		checkRegionPair(collector, ['shifts', index], shift, names);
		checkServiceName(collector, ['shifts', index, 'service'], shift.service, names);
	}

	for (const [index, block] of agreement.blocks.entries()) {
		checkBlock(collector, index, block, names);
	}

	for (const [index, drain] of agreement.drains.entries()) {
		checkDrain(collector, index, drain, names);
	}
}

function checkWorker(collector: FindingCollector, index: number, worker: Worker, names: KnownNames): void {
	collector.expectKnown(['workers', index, 'service'], 'service', worker.service, names.services);
	collector.expectKnown(['workers', index, 'site'], 'site', worker.site, names.sites);
}

function checkMember(collector: FindingCollector, index: number, member: Member, names: KnownNames): void {
	const seen = new Set<string>();
	for (const [capIndex, cap] of member.caps.entries()) {
		const path = ['members', index, 'caps', capIndex, 'service'];
		checkServiceName(collector, path, cap.service, names);
		if (seen.has(cap.service)) {
			collector.add(path, `"${cap.service}" has two caps; keep one of them`);
		}

		seen.add(cap.service);
	}
}

function checkServiceName(collector: FindingCollector, path: Array<string | number>, service: string, names: KnownNames): void {
	if (service !== '*') {
		collector.expectKnown(path, 'service', service, names.services);
	}
}

function checkRegionPair(collector: FindingCollector, path: Array<string | number>, pair: Link | Shift, names: KnownNames): void {
	collector.expectKnown([...path, 'from'], 'region', pair.from, names.regions);
	collector.expectKnown([...path, 'to'], 'region', pair.to, names.regions);
	if (pair.from === pair.to) {
		collector.add([...path, 'to'], 'must differ from "from"');
	}
}

function checkBlock(collector: FindingCollector, index: number, block: Block, names: KnownNames): void {
	collector.expectKnown(['blocks', index, 'site'], 'site', block.site, names.sites);
	const parsed = parsePrefix(block.prefix);
	if (!parsed.ok) {
		collector.add(['blocks', index, 'prefix'], parsed.reason);
	}
}

function checkDrain(collector: FindingCollector, index: number, drain: Drain, names: KnownNames): void {
	const known = drainTargetNames(drain.kind, names);
	if (known) {
		collector.expectKnown(['drains', index, 'name'], drain.kind, drain.name, known);
	}
}

/** Hosts come and go without the agreement, so their names are not checked. */
function drainTargetNames(kind: DrainKind, names: KnownNames): ReadonlySet<string> | undefined {
	switch (kind) {
		case DrainKind.Worker: {
			return names.workers;
		}

		case DrainKind.Site: {
			return names.sites;
		}

		case DrainKind.Zone: {
			return names.zones;
		}

		case DrainKind.Region: {
			return names.regions;
		}

		case DrainKind.Host: {
			return undefined;
		}
	}
}
