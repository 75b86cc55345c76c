export {
	ChildPhase, Supervisor, type Child, type SupervisorOptions,
} from './supervisor.js';
