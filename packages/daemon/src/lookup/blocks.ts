import {
	ChangeKind, Section, parsePrefix, type AgreementState, type Block, type Change,
} from '@apricotwood/agreement';
import {BlockTable} from '@apricotwood/routing';

/** Builds the table of an agreement's client blocks. */
export function buildBlocks(state: AgreementState): BlockTable {
	const table = new BlockTable();
	for (const block of state.agreement.blocks) {
		setBlock(table, block);
	}

	return table;
}

/** Brings a table in line with one version's changes, one cell for each changed block. */
export function changeBlocks(table: BlockTable, changes: readonly Change[]): void {
	for (const change of changes) {
		if (change.kind === ChangeKind.Priority || change.section !== Section.Blocks) {
			continue;
		}

		if (change.kind === ChangeKind.Set) {
			setBlock(table, change.item as Block);
			continue;
		}

		const parsed = parsePrefix(change.key);
		if (parsed.ok) {
			table.delete(parsed.prefix);
		}
	}
}

function setBlock(table: BlockTable, {prefix, site}: Block): void {
	const parsed = parsePrefix(prefix);
	if (parsed.ok) {
		table.set(parsed.prefix, site);
	}
}
