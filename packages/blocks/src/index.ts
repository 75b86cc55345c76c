export {BlockTable, type BlockMatch} from './block-table.js';
export {mixHashes} from './hash.js';
export {
	formatPrefix, maskWord, parseAddress, parsePrefix, type Prefix,
} from './prefix.js';
