import {fetchCurrentAgreement, type CurrentAgreement} from '../../agreement.js';
import {BaseCommand} from '../../base.js';

/** Prints the agreement in force. */
export default class AgreementShow extends BaseCommand {
	static override description = 'Prints the agreement in force, ready to be edited and applied.';

	async run(): Promise<CurrentAgreement> {
		const {flags} = await this.parse(AgreementShow);
		const answer = await fetchCurrentAgreement(this.createClient(flags));
		this.log(JSON.stringify(answer.agreement, undefined, '\t'));
		return answer;
	}
}
