import {checkAgreement} from '@apricotwood/agreement';
import {Args} from '@oclif/core';
import {BaseCommand} from '../../base.js';

/** Checks an agreement without a host. */
export default class AgreementCheck extends BaseCommand {
	static override description = 'Checks an agreement in a file; lists every finding with its place.';
	static override args = {file: Args.string({required: true, description: 'JSON file, or - for standard input'})};

	async run(): Promise<{readonly holds: true}> {
		const {args} = await this.parse(AgreementCheck);
		checkAgreement(this.readJsonFile(args.file));
		this.log(`${args.file}: the agreement holds`);
		return {holds: true};
	}
}
