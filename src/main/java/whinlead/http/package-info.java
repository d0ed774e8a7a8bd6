/** What both sides of the platform's HTTP/1.1 share: requests, answers and load reports as values. */
package whinlead.http;
