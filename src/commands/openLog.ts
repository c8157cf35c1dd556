/** Opens the log client of a command. */
import { HttpLog } from '../transports/httpLog.js';
import { getRequiredOption, UsageError, type ParsedArguments } from './command.js';

/** Creates a client for the log service at the URL of `--log`. */
export function openLog(values: ParsedArguments['values']): HttpLog {
  const url = getRequiredOption(values, 'log');
  if (!URL.canParse(url)) {
    throw new UsageError(`--log: expected a URL, found '${url}'`);
  }
  return new HttpLog({ url });
}
