import {z} from 'zod';
import {FindingsError, parseOrThrow, type Finding} from '@apricotwood/findings';
import {Priority, type Agreement} from './types.js';
import {checkAgreement} from './check.js';

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
type Draft = Record<Section, Item[]> & {priority: Priority};

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

/**
 * Applies a patch's changes, in order, and checks the outcome as a whole.
 * The given agreement stays as it is.
 * @throws {FindingsError} with every finding of the changes and of the outcome.
 */
export function applyPatch(agreement: Agreement, patch: Patch): Agreement {
	const draft: Draft = {...agreement};
	const findings: Finding[] = [];
	for (const [index, change] of patch.changes.entries()) {
		const message = applyChange(draft, change);
		if (message !== undefined) {
			findings.push({place: `changes[${index}]`, message});
		}
	}

	try {
		const checked = checkAgreement(draft);
		if (findings.length === 0) {
			return checked;
		}
	} catch (error) {
		if (!(error instanceof FindingsError)) {
			throw error;
		}

		findings.push(...error.findings);
	}

	throw new FindingsError('patch', findings);
}

function applyChange(draft: Draft, change: Change): string | undefined {
	if (change.kind === ChangeKind.Priority) {
		draft.priority = change.priority;
		return undefined;
	}

	const {section} = change;
	const items = draft[section];
	const key = change.kind === ChangeKind.Remove ? change.key : keyOf(section, change.item);
	const index = items.findIndex(item => keyOf(section, item) === key);
	if (change.kind === ChangeKind.Remove) {
		if (index === -1) {
			return `"${key}" is not in ${section}; nothing to remove`;
		}

		draft[section] = items.toSpliced(index, 1);
		return undefined;
	}

	draft[section] = index === -1 ? [...items, change.item] : items.with(index, change.item);
	return undefined;
}

/** The smallest list of changes that turns one agreement into another. */
export function diffAgreements(before: Agreement, after: Agreement): Change[] {
	const changes: Change[] = [];
	if (before.priority !== after.priority) {
		changes.push({kind: ChangeKind.Priority, priority: after.priority});
	}

	for (const section of Object.values(Section)) {
		changes.push(...diffSection(section, before[section], after[section]));
	}

	return changes;
}

function diffSection(section: Section, before: readonly Item[], after: readonly Item[]): Change[] {
	const changes: Change[] = [];
	const old = new Map(before.map(item => [keyOf(section, item), JSON.stringify(item)]));
	for (const item of after) {
		const key = keyOf(section, item);
		if (old.get(key) !== JSON.stringify(item)) {
			changes.push({kind: ChangeKind.Set, section, item});
		}

		old.delete(key);
	}

	for (const key of old.keys()) {
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
