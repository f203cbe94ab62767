/** Size of the JSON of an object without fields, in bytes. */
export const BRACES_BYTES = 2;
/** Size of the colon and the comma of a field in JSON, in bytes. */
const SEPARATOR_BYTES = 2;

/** Size of a value in bytes when it is encoded as JSON. */
export function jsonBytes(value: object | string | number): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** Largest size that a field adds to an object's JSON, in bytes. */
export function fieldBytes(
  name: string,
  value: object | string | number,
): number {
  return jsonBytes(name) + jsonBytes(value) + SEPARATOR_BYTES;
}
