import {
	ChangeKind, DrainKind, Section, type Change,
} from '@apricotwood/agreement';

/** The argument that names what kind of place a drain covers. */
export const DRAIN_KIND_ARG = {
	required: true, options: Object.values(DrainKind) as string[], description: 'kind of place',
};

/** The change of the agreement that starts or ends a drain. */
export function createDrainChange(kind: DrainKind, name: string, isDrained: boolean): Change {
	return isDrained
		? {kind: ChangeKind.Set, section: Section.Drains, item: {kind, name}}
		: {kind: ChangeKind.Remove, section: Section.Drains, key: `${kind}/${name}`};
}
