import {checkAgreement, diffAgreements} from '@apricotwood/agreement';
import {Args, Flags} from '@oclif/core';
import {fetchCurrentAgreement, sendPatch, type AcceptedPatch} from '../../agreement.js';
import {BaseCommand, ExitCode} from '../../base.js';

/** Brings a file in force. */
export default class AgreementApply extends BaseCommand {
	static override description = 'Brings an agreement in a file in force, as one patch against the version that was planned.';
	static override args = {file: Args.string({required: true, description: 'JSON file, or - for standard input'})};
	static override flags = {
		against: Flags.integer({description: 'version that the file was made against; the current one by default'}),
		id: Flags.string({description: 'id of the patch; sending it again has no further effect'}),
	};

	async run(): Promise<AcceptedPatch | {readonly version: number; readonly changes: 0}> {
		const {args, flags} = await this.parse(AgreementApply);
		const wanted = checkAgreement(this.readJsonFile(args.file));
		const client = this.createClient(flags);
		const {version, agreement} = await fetchCurrentAgreement(client);
		if (flags.against !== undefined && flags.against !== version) {
			this.error(`the agreement is at version ${version}, not ${flags.against}; plan again`, {exit: ExitCode.Stale});
		}

		const changes = diffAgreements(agreement, wanted);
		if (changes.length === 0) {
			this.log(`version ${version} is the same already`);
			return {version, changes: 0};
		}

		const answer = await sendPatch(client, version, changes, flags.id);
		this.log(`version ${answer.version} accepted, ${answer.peers} other hosts had it before the answer`);
		return answer;
	}
}
