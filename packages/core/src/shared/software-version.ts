/** Software versions of backend servers. */

/**
 * Returns whether a backend server may run a request.
 *
 * @param required the version that began the stream of the request; undefined if it has not begun
 */
export function isOfVersion(
  required: string | undefined,
  { softwareVersion }: { softwareVersion?: string },
): boolean {
  return required === undefined || required === softwareVersion;
}
