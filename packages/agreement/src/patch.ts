import * as z from 'zod';
import {
	formatPrefix, parsePrefix, type BlockTable, type Prefix,
} from '@apricotwood/blocks';
import {FindingsError, parseOrThrow, type Finding} from '@apricotwood/findings';
import {Priority, type Agreement, type CoreAgreement} from './types.js';
import {checkAgreement, normalisePrefix} from './check.js';

/** What a change does to one item. */
export enum ChangeKind {
	/** Adds the item, or replaces the one with the same key. */
	Set = 'set',
	/** Removes the item with the key. */
	Remove = 'remove',
	/** Sets what the deployment weighs most. */
	Priority = 'priority',
}

/** The lists of the agreement that hold keyed items. */
export enum Section {
	Regions = 'regions',
	Sites = 'sites',
	Services = 'services',
	Workers = 'workers',
	Members = 'members',
	Links = 'links',
	Shifts = 'shifts',
	Blocks = 'blocks',
	Drains = 'drains',
}

const changeSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal(ChangeKind.Set), section: z.enum(Section), item: z.looseObject({})}),
	z.strictObject({kind: z.literal(ChangeKind.Remove), section: z.enum(Section), key: z.string().min(1)}),
	z.strictObject({kind: z.literal(ChangeKind.Priority), priority: z.enum(Priority)}),
]);

export const patchSchema = z.strictObject({
	/** Names the patch; sending it again has no further effect. */
	id: z.string().regex(/^[\w.:-]{1,100}$/, 'must be 1 to 100 letters, digits, "_", ".", ":" or "-"'),
	/** The version of the agreement that the patch was made against. */
	against: z.number().int().min(0),
	changes: z.array(changeSchema).min(1, 'must hold 1 change or more').max(10_000, 'must hold 10000 changes or fewer'),
});

export type Change = z.infer<typeof changeSchema>;
export type Patch = z.infer<typeof patchSchema>;

type Item = Record<string, unknown>;

/** The key of an item inside its section, as `remove` names it. */
export function keyOf(section: Section, item: Item): string {
	switch (section) {
		case Section.Links: {
			return `${String(item.from)}>${String(item.to)}`;
		}

		case Section.Blocks: {
			return String(item.prefix);
		}

		case Section.Drains: {
			return `${String(item.kind)}/${String(item.name)}`;
		}

		case Section.Regions:
		case Section.Sites:
		case Section.Services:
		case Section.Workers:
		case Section.Members:
		case Section.Shifts: {
			return String(item.name);
		}
	}
}

/** @throws {FindingsError} with every finding, when the value is not a patch. */
export function parsePatch(value: unknown): Patch {
	return parseOrThrow('patch', patchSchema, value);
}

/** What a patch does to one client block; `site` is undefined for a block that goes. */
export type BlockChange = {
	readonly prefix: Prefix;
	readonly site: string | undefined;
};

/** The blocks in force, as far as a patch has to know them. */
export type BlockLookup = Pick<BlockTable, 'get' | 'usesSite'>;

/** The outcome of a patch: the rest of the agreement, and the blocks that change. */
export type PatchResult = {
	readonly core: CoreAgreement;
	readonly blocks: readonly BlockChange[];
};

type ItemsByKey = Map<string, Item>;

/**
 * Applies a patch's changes, in order, and checks the outcome as a whole. The
 * cost follows the patch and the agreement without its blocks. What was given
 * stays as it is.
 * @throws {FindingsError} with every finding of the changes and of the outcome.
 */
export function applyPatch(core: CoreAgreement, blocks: BlockLookup, patch: Patch): PatchResult {
	const findings: Finding[] = [];
	const result = applyChanges(core, patch.changes, findings);
	checkBlockChanges(result, blocks, patch, findings);
	checkRemovedSites(core, result, blocks, findings);
	try {
		const {blocks: _blocks, ...checked} = checkAgreement({...result.core, blocks: []});
		if (findings.length === 0) {
			return {core: checked, blocks: result.blocks};
		}
	} catch (error) {
		if (!(error instanceof FindingsError)) {
			throw error;
		}

		findings.push(...error.findings);
	}

	throw new FindingsError('patch', findings);
}

/** Applies changes that were checked when they were accepted. */
export function applyChanges(core: CoreAgreement, changes: readonly Change[], findings: Finding[] = []): PatchResult {
	const draft: Record<string, unknown> = {...core};
	const changedSections = new Map<Section, ItemsByKey>();
	const blocks: BlockChange[] = [];
	for (const [index, change] of changes.entries()) {
		if (change.kind === ChangeKind.Priority) {
			draft.priority = change.priority;
		} else if (change.section === Section.Blocks) {
			applyBlockChange(blocks, change, index, findings);
		} else {
			applyItemChange(core, changedSections, change, index, findings);
		}
	}

	for (const [section, items] of changedSections) {
		draft[section] = [...items.values()];
	}

	return {core: draft as unknown as CoreAgreement, blocks};
}

type ItemChange = Exclude<Change, {kind: ChangeKind.Priority}>;

function applyItemChange(core: CoreAgreement, changedSections: Map<Section, ItemsByKey>, change: ItemChange, index: number, findings: Finding[]): void {
	const {section} = change;
	let items = changedSections.get(section);
	if (!items) {
		const before = core[section as Exclude<Section, Section.Blocks>] as readonly Item[];
		items = new Map(before.map(item => [keyOf(section, item), item]));
		changedSections.set(section, items);
	}

	if (change.kind === ChangeKind.Set) {
		items.set(keyOf(section, change.item), change.item);
	} else if (!items.delete(change.key)) {
		findings.push({place: `changes[${index}]`, message: `"${change.key}" is not in ${section}; nothing to remove`});
	}
}

function applyBlockChange(blockChanges: BlockChange[], change: ItemChange, index: number, findings: Finding[]): void {
	const isSet = change.kind === ChangeKind.Set;
	const text = isSet ? keyOf(Section.Blocks, change.item) : change.key;
	const parsed = parsePrefix(text);
	if (!parsed.ok) {
		findings.push({place: `changes[${index}]`, message: parsed.reason});
		return;
	}

	blockChanges.push({prefix: parsed.prefix, site: isSet ? String(change.item.site) : undefined});
}

function checkBlockChanges({core, blocks: blockChanges}: PatchResult, blocks: BlockLookup, {changes}: Patch, findings: Finding[]): void {
	if (blockChanges.length === 0) {
		return;
	}

	const sites = new Set(core.sites.map(site => site.name));
	const present = new Map<string, boolean>();
	for (const {prefix, site} of blockChanges) {
		const key = formatPrefix(prefix);
		const wasPresent = present.get(key) ?? blocks.get(prefix) !== undefined;
		if (site === undefined && !wasPresent) {
			findings.push({place: findBlockPlace(changes, key), message: `"${key}" is not in blocks; nothing to remove`});
		}

		if (site !== undefined && !sites.has(site)) {
			findings.push({place: `${findBlockPlace(changes, key)}.item.site`, message: `"${site}" is not a site of this agreement; add it or correct the name`});
		}

		present.set(key, site !== undefined);
	}
}

function findBlockPlace(changes: readonly Change[], key: string): string {
	const index = changes.findIndex(change => change.kind !== ChangeKind.Priority && change.section === Section.Blocks
		&& normalisePrefix(change.kind === ChangeKind.Set ? keyOf(Section.Blocks, change.item) : change.key) === key);
	return `changes[${index}]`;
}

/** A site that goes must not be named by a block; removals are rare, so that every block may be looked at. */
function checkRemovedSites(before: CoreAgreement, result: PatchResult, blocks: BlockLookup, findings: Finding[]): void {
	const remainingSites = new Set(result.core.sites.map(site => site.name));
	for (const {name} of before.sites) {
		if (!remainingSites.has(name) && blocks.usesSite(name)) {
			findings.push({place: 'sites', message: `client blocks still name site "${name}"; move them first, in a patch of their own`});
		}
	}
}

/** The smallest list of changes that turns one agreement into another. */
export function diffAgreements(before: Agreement, after: Agreement): Change[] {
	const changes: Change[] = [];
	if (before.priority !== after.priority) {
		changes.push({kind: ChangeKind.Priority, priority: after.priority});
	}

	for (const section of Object.values(Section)) {
		for (const change of diffSection(section, before[section], after[section])) {
			changes.push(change);
		}
	}

	return changes;
}

function diffSection(section: Section, before: readonly Item[], after: readonly Item[]): Change[] {
	const changes: Change[] = [];
	const previous = new Map(before.map(item => [keyOf(section, item), JSON.stringify(item)]));
	for (const item of after) {
		const key = keyOf(section, item);
		if (previous.get(key) !== JSON.stringify(item)) {
			changes.push({kind: ChangeKind.Set, section, item});
		}

		previous.delete(key);
	}

	for (const key of previous.keys()) {
		changes.push({kind: ChangeKind.Remove, section, key});
	}

	return changes;
}

/** The agreement of version 0, which the first patch is made against; it serves nothing. */
export const EMPTY_AGREEMENT: Agreement = {
	priority: Priority.Latency,
	regions: [],
	sites: [],
	services: [],
	workers: [],
	members: [],
	links: [],
	shifts: [],
	blocks: [],
	drains: [],
};
