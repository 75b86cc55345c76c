import {type Change} from '@apricotwood/agreement';
import {Flags} from '@oclif/core';
import {formatChange} from '../../agreement.js';
import {BaseCommand} from '../../base.js';

type History = {
	readonly version: number;
	readonly records: ReadonlyArray<{version: number; patchId: string; operator: string; acceptedAtMs: number; changes: readonly Change[]}>;
};

/** Lists accepted versions. */
export default class AgreementHistory extends BaseCommand {
	static override description = 'Lists accepted versions with operator, patch and changes.';
	static override flags = {after: Flags.integer({description: 'only versions after this one'})};

	async run(): Promise<History> {
		const {flags} = await this.parse(AgreementHistory);
		const query: Record<string, string> = flags.after === undefined ? {} : {after: String(flags.after)};
		const answer = await this.createClient(flags).get<History>('/v1/agreement/history', query);
		for (const {version, patchId, operator, acceptedAtMs, changes} of answer.records) {
			this.log(`version ${version}, ${new Date(acceptedAtMs).toISOString()}, patch ${patchId} by ${operator}`);
			for (const change of changes) {
				this.log(`  ${formatChange(change)}`);
			}
		}

		return answer;
	}
}
