/**
 * Shared by both sides of the platform's HTTP/1.1: requests, responses and load reports as values, and
 * {@link whinlead.http.StrictClientCodec}, by which all connections to HTTP servers read responses.
 */
package whinlead.http;
