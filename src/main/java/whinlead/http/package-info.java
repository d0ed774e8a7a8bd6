/** Shared by both sides of the platform's HTTP/1.1: requests, responses and load reports as values. */
package whinlead.http;
