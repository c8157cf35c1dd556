/** Checks the bytes of a response's head for what Node's parser accepts although the head is damaged. */

const TRANSFER_CODING = /^transfer-encoding:[ \t]*(.*?)[ \t]*$/i;
/** A status line that does not begin its line. */
const INNER_STATUS_LINE = /.HTTP\/\d\.\d \d{3}/;
const STATUS_LINE = /^HTTP\/1\.[01] ([2-5]\d\d)(?: |$)/;
const NO_CONTENT_STATUS = '204';
const BODY_FIELD = /^(?:transfer-encoding:|content-length:[ \t]*0*[1-9])/i;
const INTERIM_STATUS_LINE = /^HTTP\/\d\.\d 1(?!01)\d\d/;
const SWITCHING_STATUS_LINE = /^HTTP\/\d\.\d 101/;

/**
 * Returns why the bytes do not begin with a sound head, or `undefined` if they do. Interim responses may precede it.
 * To be called once the parser has reported the head.
 *
 * @example
 * findHeadFault(Buffer.from('HTTP/1.1 200 OK\r\n\rbody')); // 'head contains a carriage return without a line feed'
 */
export function findHeadFault(bytes: Buffer): string | undefined {
  const head = readHeadLines(bytes);
  const lines = head?.lines;
  // The parser takes `CR X` for the blank line and drops the X, which shortens the body.
  if (head === undefined || lines === undefined || lines.some((line) => line.includes('\r'))) {
    return 'head contains a carriage return without a line feed';
  }
  // No call asks for another protocol, and the parser ends the response there without a body.
  if (lines.some((line) => SWITCHING_STATUS_LINE.test(line))) {
    return 'head switches protocols';
  }
  const status = STATUS_LINE.exec(head.statusLine)?.[1];
  if (status === undefined) {
    return 'status is not between 200 and 599';
  }
  if (status === NO_CONTENT_STATUS && lines.some((line) => BODY_FIELD.test(line))) {
    return 'head announces a body that its status excludes';
  }
  if (hasUnknownTransferCoding(lines)) {
    return 'transfer coding is not chunked';
  }
  // A head that stops inside a line merges with the next one: the first status then counts for the second body.
  return lines.some((line) => INNER_STATUS_LINE.test(line))
    ? 'head contains the status line of another response'
    : undefined;
}

/** The parser reads a body in another coding until the connection ends, and does not decode it. */
function hasUnknownTransferCoding(lines: readonly string[]): boolean {
  const codings = lines.flatMap((line) => TRANSFER_CODING.exec(line)?.slice(1) ?? []);
  return codings.length > 0 && codings.join().toLowerCase() !== 'chunked';
}

interface HeadLines {
  /** Of the interim heads and the head. */
  readonly lines: readonly string[];
  readonly statusLine: string;
}

/** Returns the lines of the interim heads and the head, or `undefined` if no line feed ends the head. */
function readHeadLines(bytes: Buffer): HeadLines | undefined {
  const lines: string[] = [];
  let statusLine: string | undefined;
  let position = 0;
  for (;;) {
    const end = bytes.indexOf('\n', position);
    if (end < 0) {
      return undefined;
    }
    const line = bytes.toString('latin1', position, end).replace(/\r$/, '');
    position = end + 1;
    if (line !== '') {
      statusLine ??= line;
      lines.push(line);
    } else if (statusLine !== undefined) {
      if (!INTERIM_STATUS_LINE.test(statusLine)) {
        return { lines, statusLine };
      }
      statusLine = undefined;
    }
  }
}
