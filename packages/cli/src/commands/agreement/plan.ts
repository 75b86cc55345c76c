import {
	AgreementState, checkAgreement, diffAgreements, listResources, type Change,
} from '@apricotwood/agreement';
import {Args} from '@oclif/core';
import {formatChange, fetchCurrentAgreement} from '../../agreement.js';
import {BaseCommand} from '../../base.js';

type LimitChange = {readonly key: string; readonly before: number; readonly after: number};

type Plan = {
	readonly against: number;
	readonly changes: readonly Change[];
	/** Limits that the changes move; 0 for none. */
	readonly limits: readonly LimitChange[];
};

/** Shows what putting a file in force would change. */
export default class AgreementPlan extends BaseCommand {
	static override description = 'Shows the patch that would bring a file in force, and the limits that it moves.';
	static override args = {file: Args.string({required: true, description: 'JSON file, or - for standard input'})};

	async run(): Promise<Plan> {
		const {args, flags} = await this.parse(AgreementPlan);
		const wanted = checkAgreement(this.readJsonFile(args.file));
		const {version, agreement} = await fetchCurrentAgreement(this.createClient(flags));
		const changes = diffAgreements(agreement, wanted);
		const limits = compareLimits(new AgreementState(version, agreement), new AgreementState(version + 1, wanted));
		this.log(`against version ${version}: ${changes.length} changes`);
		for (const change of changes) {
			this.log(`  ${formatChange(change)}`);
		}

		if (limits.length > 0) {
			this.printTable(['resource', 'limit now', 'limit then'], limits.map(({key, before, after}) => [key, before, after]));
		}

		return {against: version, changes, limits};
	}
}

function compareLimits(before: AgreementState, after: AgreementState): LimitChange[] {
	const oldLimits = new Map(listResources(before).map(({key, limit}) => [key, limit]));
	const newLimits = new Map(listResources(after).map(({key, limit}) => [key, limit]));
	const changes: LimitChange[] = [];
	for (const key of new Set([...oldLimits.keys(), ...newLimits.keys()])) {
		const change = {key, before: oldLimits.get(key) ?? 0, after: newLimits.get(key) ?? 0};
		if (change.before !== change.after) {
			changes.push(change);
		}
	}

	return changes;
}
