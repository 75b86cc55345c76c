import type {Hook} from '@oclif/core';
import {closest} from 'fastest-levenshtein';
import {ExitCode} from '../base.js';

/** Names the nearest command when a word is not one. */
const suggestCommand: Hook<'command_not_found'> = async function ({id, config}) {
	const formatId = (text: string) => text.replaceAll(':', ' ');
	const nearest = closest(id, config.commandIDs);
	this.error(`"${formatId(id)}" is not a command; did you mean "${config.bin} ${formatId(nearest)}"? "${config.bin} --help" lists all`, {exit: ExitCode.BadInput});
};

export default suggestCommand;
