/** Opens the log that a command works on. */
import { HttpLog } from '../transports/httpLog.js';
import { getRequiredOption, UsageError, type ParsedArguments } from './command.js';

/** Opens the log that `--log` names. */
export function openLog(values: ParsedArguments['values']): HttpLog {
  const url = getRequiredOption(values, 'log');
  if (!URL.canParse(url)) {
    throw new UsageError(`--log: expected a URL, found '${url}'`);
  }
  return new HttpLog({ url });
}
