import {formatPrefix, parsePrefix} from '@apricotwood/blocks';
import {
	FindingsError, formatPlace, parseOrThrow, type Finding,
} from '@apricotwood/findings';
import {
	agreementSchema, DrainKind, type Agreement, type Block, type Drain, type Link, type Member, type Shift, type Worker,
} from './types.js';

type Names = {
	readonly regions: ReadonlySet<string>;
	readonly zones: ReadonlySet<string>;
	readonly sites: ReadonlySet<string>;
	readonly services: ReadonlySet<string>;
	readonly workers: ReadonlySet<string>;
};

/** Collects findings under one path. */
class Report {
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
	expectUnique<T>(list: string, items: readonly T[], keyOf: (item: T) => string): void {
		const seen = new Set<string>();
		for (const [index, item] of items.entries()) {
			const key = keyOf(item);
			if (seen.has(key)) {
				this.add([list, index], `"${key}" stands twice; keep one of them`);
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
	const report = new Report();
	checkUnique(report, agreement);
	checkReferences(report, agreement, collectNames(agreement));
	if (report.findings.length > 0) {
		throw new FindingsError('agreement', report.findings);
	}

	return {...agreement, blocks: agreement.blocks.map(block => ({...block, prefix: normalisePrefix(block.prefix)}))};
}

/** The one spelling of a prefix; an unreadable one stays as it is. */
export function normalisePrefix(text: string): string {
	const parsed = parsePrefix(text);
	return parsed.ok ? formatPrefix(parsed.prefix) : text;
}

function collectNames(agreement: Agreement): Names {
	const named = (items: ReadonlyArray<{name: string}>) => new Set(items.map(item => item.name));
	return {
		regions: named(agreement.regions),
		zones: new Set(agreement.regions.flatMap(region => region.zones)),
		sites: named(agreement.sites),
		services: named(agreement.services),
		workers: named(agreement.workers),
	};
}

function checkUnique(report: Report, agreement: Agreement): void {
	report.expectUnique('regions', agreement.regions, region => region.name);
	report.expectUnique('sites', agreement.sites, site => site.name);
	report.expectUnique('services', agreement.services, service => service.name);
	report.expectUnique('workers', agreement.workers, worker => worker.name);
	report.expectUnique('members', agreement.members, member => member.name);
	report.expectUnique('links', agreement.links, link => `${link.from}>${link.to}`);
	report.expectUnique('shifts', agreement.shifts, shift => shift.name);
	report.expectUnique('blocks', agreement.blocks, block => normalisePrefix(block.prefix));
	report.expectUnique('drains', agreement.drains, drain => `${drain.kind}/${drain.name}`);
	const zones = agreement.regions.flatMap(region => region.zones);
	if (new Set(zones).size < zones.length) {
		report.add(['regions'], 'an availability zone stands in two regions; give each zone one region');
	}
}

function checkReferences(report: Report, agreement: Agreement, names: Names): void {
	for (const [index, site] of agreement.sites.entries()) {
		report.expectKnown(['sites', index, 'zone'], 'availability zone', site.zone, names.zones);
	}

	for (const [index, worker] of agreement.workers.entries()) {
		checkWorker(report, index, worker, names);
	}

	for (const [index, member] of agreement.members.entries()) {
		checkMember(report, index, member, names);
	}

	for (const [index, link] of agreement.links.entries()) {
		checkPair(report, ['links', index], link, names);
	}

	for (const [index, shift] of agreement.shifts.entries()) {
		checkPair(report, ['shifts', index], shift, names);
		checkServiceName(report, ['shifts', index, 'service'], shift.service, names);
	}

	for (const [index, block] of agreement.blocks.entries()) {
		checkBlock(report, index, block, names);
	}

	for (const [index, drain] of agreement.drains.entries()) {
		checkDrain(report, index, drain, names);
	}
}

function checkWorker(report: Report, index: number, worker: Worker, names: Names): void {
	report.expectKnown(['workers', index, 'service'], 'service', worker.service, names.services);
	report.expectKnown(['workers', index, 'site'], 'site', worker.site, names.sites);
}

function checkMember(report: Report, index: number, member: Member, names: Names): void {
	const seen = new Set<string>();
	for (const [capIndex, cap] of member.caps.entries()) {
		const path = ['members', index, 'caps', capIndex, 'service'];
		checkServiceName(report, path, cap.service, names);
		if (seen.has(cap.service)) {
			report.add(path, `"${cap.service}" has two caps; keep one of them`);
		}

		seen.add(cap.service);
	}
}

function checkServiceName(report: Report, path: Array<string | number>, service: string, names: Names): void {
	if (service !== '*') {
		report.expectKnown(path, 'service', service, names.services);
	}
}

function checkPair(report: Report, path: Array<string | number>, pair: Link | Shift, names: Names): void {
	report.expectKnown([...path, 'from'], 'region', pair.from, names.regions);
	report.expectKnown([...path, 'to'], 'region', pair.to, names.regions);
	if (pair.from === pair.to) {
		report.add([...path, 'to'], 'must differ from "from"');
	}
}

function checkBlock(report: Report, index: number, block: Block, names: Names): void {
	report.expectKnown(['blocks', index, 'site'], 'site', block.site, names.sites);
	const parsed = parsePrefix(block.prefix);
	if (!parsed.ok) {
		report.add(['blocks', index, 'prefix'], parsed.reason);
	}
}

function checkDrain(report: Report, index: number, drain: Drain, names: Names): void {
	const known = knownDrainTargets(drain.kind, names);
	if (known) {
		report.expectKnown(['drains', index, 'name'], drain.kind, drain.name, known);
	}
}

/** Hosts come and go without the agreement, so their names are not checked. */
function knownDrainTargets(kind: DrainKind, names: Names): ReadonlySet<string> | undefined {
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
