import AgreementApply from './commands/agreement/apply.js';
import AgreementCheck from './commands/agreement/check.js';
import AgreementHistory from './commands/agreement/history.js';
import AgreementPlan from './commands/agreement/plan.js';
import AgreementShow from './commands/agreement/show.js';
import AgreementStatus from './commands/agreement/status.js';
import Drain from './commands/drain.js';
import ExperimentChanges from './commands/experiment/changes.js';
import ExperimentLosses from './commands/experiment/losses.js';
import ExperimentRecord from './commands/experiment/record.js';
import ExperimentRun from './commands/experiment/run.js';
import Explain from './commands/explain.js';
import HostList from './commands/host/list.js';
import LedgerShow from './commands/ledger/show.js';
import Lookup from './commands/lookup.js';
import Trace from './commands/trace.js';
import Undrain from './commands/undrain.js';

/** All commands by id, loaded by oclif as named in package.json. */
export const commands = {
	lookup: Lookup,
	trace: Trace,
	explain: Explain,
	drain: Drain,
	undrain: Undrain,
	'experiment:changes': ExperimentChanges,
	'experiment:losses': ExperimentLosses,
	'experiment:record': ExperimentRecord,
	'experiment:run': ExperimentRun,
	'host:list': HostList,
	'ledger:show': LedgerShow,
	'agreement:check': AgreementCheck,
	'agreement:plan': AgreementPlan,
	'agreement:apply': AgreementApply,
	'agreement:show': AgreementShow,
	'agreement:history': AgreementHistory,
	'agreement:status': AgreementStatus,
};
